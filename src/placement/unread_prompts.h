#pragma once

#include "placement/load_tracker.h"

#include <pomelohoist/clock.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Tracks the prompts that endpoints have received and not read yet, from this entry and from the other entries.
namespace pomelohoist {

/// Prompt tokens that one entry has placed at one endpoint and that are not read yet.
struct unread_load {
    static constexpr std::uint32_t block_tokens = 16;

    endpoint_digest endpoint{0};
    std::uint16_t blocks{0}; ///< of `block_tokens` tokens, rounded up

    template <class Archive> void serialize(Archive& archive) { archive(this->endpoint, this->blocks); }
    friend bool operator==(const unread_load&, const unread_load&) = default;
};

/// Predicts how long an endpoint reads the prompts that wait there. An endpoint does not state what it has read: an
/// entry knows it for its own prompts once the first event arrives. A prompt counts as read at the latest after twice
/// the time that the endpoint needs, so that a stalled stream does not keep requests from an endpoint, and a peer need
/// not report that its prompts were read. Thread-safe.
class unread_prompts {
  public:
    /// Identifies a prompt of this entry.
    using prompt_id = std::uint64_t;

    explicit unread_prompts(const clock& time_source) : time(time_source) {}

    /// Records that a prompt is sent to the endpoint.
    /// @param tokens_per_s rate at which the endpoint reads; a prompt at an endpoint without one is not tracked
    prompt_id begin(endpoint_digest endpoint, std::uint32_t tokens, double tokens_per_s);
    /// Records that the endpoint has read the prompt, or does not read it any more. May be called repeatedly.
    void end(endpoint_digest endpoint, prompt_id prompt);
    /// @returns time that the endpoint needs to read the prompts that wait there
    [[nodiscard]] std::chrono::microseconds reading_time(endpoint_digest endpoint, double tokens_per_s) const;

    /// Replaces what another entry last reported.
    void set_peer_loads(const std::string& peer, const std::optional<std::vector<unread_load>>& loads);
    /// @returns the unread prompts of this entry, or nothing when all are read
    [[nodiscard]] std::optional<std::vector<unread_load>> own_loads() const;

  private:
    struct own_prompt {
        std::uint32_t tokens{0};
        steady_time read_by; ///< counts as read from this time
    };
    struct peer_prompts {
        std::string peer;
        std::uint32_t tokens{0};
        steady_time reported_at;
    };
    struct peer_report {
        steady_time reported_at;
        std::vector<endpoint_digest> endpoints;
    };

    /// @returns unread tokens at the endpoint, from all entries
    [[nodiscard]] std::uint64_t tokens_at(endpoint_digest endpoint, double tokens_per_s) const;
    void remove_report(const std::string& peer, const peer_report& report);

    const clock& time;
    mutable std::mutex mutex;
    std::unordered_map<endpoint_digest, std::map<prompt_id, own_prompt>> own;
    // By endpoint: each attempt to place a request asks for every endpoint, while few have unread prompts.
    std::unordered_map<endpoint_digest, std::vector<peer_prompts>> peers;
    std::unordered_map<std::string, peer_report> reports;
    prompt_id next_prompt{1};
};

} // namespace pomelohoist
