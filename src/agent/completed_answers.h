#pragma once

#include "inner/messages.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/config.h>

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

/// Whole answers of non-idempotent runs, kept for `outcome_request`.
namespace pomelohoist {

class completed_answers {
  public:
    explicit completed_answers(const clock& time_source, std::size_t max_bytes = default_max_bytes)
        : time(time_source), byte_limit(max_bytes) {}

    /// Keeps the answer for `config::completed_response_lifetime`, at most `config::max_completed_responses` of them.
    void store(const ticket& id, const inner::stored_response& answer);
    [[nodiscard]] std::optional<inner::stored_response> find(const ticket& id);
    [[nodiscard]] std::size_t size();

  private:
    /// Half of the memory that the design allows a daemon, less what its threads need.
    static constexpr std::size_t default_max_bytes = 24U << 20U;

    struct kept {
        ticket id;
        steady_time expires{};
    };

    void drop_oldest();
    void expire();

    const clock& time;
    std::size_t byte_limit;
    std::mutex mutex;
    std::size_t bytes{0};
    std::map<ticket, inner::stored_response> answers;
    std::deque<kept> order;
};

} // namespace pomelohoist
