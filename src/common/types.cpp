#include <pomelohoist/types.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

#include <arpa/inet.h>

namespace pomelohoist {

namespace {

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr std::size_t traceparent_length = 55; // VERSION-TRACE-SPAN-FLAGS: 2, 32, 16 and 2 digits and three hyphens

bool is_lower_hex(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); });
}

bool is_all_zero(std::string_view text) {
    return text.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

std::string net_address::to_string() const {
    return this->ip + ":" + std::to_string(this->port);
}

std::optional<net_address> net_address::parse(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string ip{text.substr(0, colon)};
    in_addr parsed_ip{};
    if (inet_pton(AF_INET, ip.c_str(), &parsed_ip) != 1) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (code != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return net_address{ip, port};
}

std::string ticket::to_string() const {
    std::ostringstream text;
    text << std::hex << this->incarnation << '-' << std::dec << this->number;
    return text.str();
}

std::string trace_context::to_traceparent() const {
    return "00-" + this->trace_id + "-" + this->span_id + "-01";
}

std::optional<trace_context> trace_context::parse(std::string_view header) {
    if (header.size() != traceparent_length || header.substr(0, 3) != "00-") {
        return std::nullopt;
    }
    const std::string_view trace = header.substr(3, trace_id_digits);
    const std::string_view span = header.substr(4 + trace_id_digits, span_id_digits);
    if (!is_lower_hex(trace) || !is_lower_hex(span) || is_all_zero(trace) || is_all_zero(span)) {
        return std::nullopt;
    }
    return trace_context{std::string{trace}, std::string{span}};
}

} // namespace pomelohoist
