#pragma once

#include "inner/messages.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/config.h>

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

/// Full responses of non-idempotent runs, kept for `outcome_request`.
namespace pomelohoist {

class completed_responses {
  public:
    explicit completed_responses(const clock& time_source, std::size_t max_bytes = default_max_bytes)
        : time(time_source), byte_limit(max_bytes) {}

    /// Keeps the response for `config::completed_response_lifetime`. Drops the oldest responses above
    /// `config::max_completed_responses` or the byte limit. Does not keep a response that alone exceeds the byte limit.
    void store(const ticket& id, const inner::stored_response& response);
    [[nodiscard]] std::optional<inner::stored_response> find(const ticket& id);
    [[nodiscard]] std::size_t size();

  private:
    /// Half of the memory budget of a daemon, minus the memory of its threads.
    static constexpr std::size_t default_max_bytes = 24U << 20U;

    struct expiry_record {
        ticket id;
        steady_time expires{};
    };

    void drop_oldest();
    void expire();

    const clock& time;
    std::size_t byte_limit;
    std::mutex mutex;
    std::size_t bytes{0};
    std::map<ticket, inner::stored_response> responses;
    std::deque<expiry_record> expiry_order;
};

} // namespace pomelohoist
