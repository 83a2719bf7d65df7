#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

/// Value types shared by all packages.
namespace pomelohoist {

/// Index of an endpoint within one configuration snapshot.
/// @attention valid only with the snapshot that it comes from
struct endpoint_handle {
    static constexpr std::uint32_t invalid_index = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t index{invalid_index};

    [[nodiscard]] bool is_valid() const { return this->index != invalid_index; }
    friend auto operator<=>(const endpoint_handle&, const endpoint_handle&) = default;
};

/// IPv4 address and port.
struct net_address {
    std::string ip;
    std::uint16_t port{0};

    /// @returns "IP:PORT"
    [[nodiscard]] std::string to_string() const;
    /// @param text "IP:PORT" with an IPv4 address
    /// @returns the address, or nothing if the text is malformed
    static std::optional<net_address> parse(std::string_view text);
    template <class Archive> void serialize(Archive& archive) { archive(this->ip, this->port); }
    friend auto operator<=>(const net_address&, const net_address&) = default; // NOLINT(modernize-use-nullptr)
};

/// Permission to run one request once, at one incarnation of an agent.
struct ticket {
    std::uint64_t incarnation{0}; ///< random number of the agent's process, 0 is invalid
    std::uint64_t number{0};

    [[nodiscard]] bool is_valid() const { return this->incarnation != 0; }
    [[nodiscard]] std::string to_string() const;
    template <class Archive> void serialize(Archive& archive) { archive(this->incarnation, this->number); }
    // The compiler rewrites `<` to a comparison of `<=>` with 0, which clang-tidy mistakes for a null pointer.
    friend auto operator<=>(const ticket&, const ticket&) = default; // NOLINT(modernize-use-nullptr)
};

/// W3C trace context of one hop.
struct trace_context {
    std::string trace_id; ///< 32 hexadecimal digits, empty for none
    std::string span_id;  ///< 16 hexadecimal digits

    /// @returns the value of a `traceparent` header
    [[nodiscard]] std::string to_traceparent() const;
    /// @param header value of a `traceparent` header
    /// @returns the context, or nothing if the header is malformed
    static std::optional<trace_context> parse(std::string_view header);
    template <class Archive> void serialize(Archive& archive) { archive(this->trace_id, this->span_id); }
    friend auto operator<=>(const trace_context&, const trace_context&) = default;
};

enum class priority : std::uint8_t { high, normal, low, count };

} // namespace pomelohoist
