#pragma once

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Requests that wait for the endpoint: by priority, then in weighted fair order between workspaces.
namespace pomelohoist {

struct queue_item {
    ticket id;
    std::string workspace;
    std::string digest;
    double weight{1.0}; ///< share of the workspace
    priority importance{priority::normal};
    std::chrono::milliseconds work{0}; ///< expected time at the endpoint
    steady_time latest_start{};

    friend bool operator==(const queue_item&, const queue_item&) = default;
};

/// What comes before a request.
struct waiting_work {
    std::chrono::milliseconds work{0};
    std::size_t requests{0};

    friend bool operator==(const waiting_work&, const waiting_work&) = default;
};

/// Refusal of a request that could not start in time.
struct queue_refusal {
    failure reason;
    std::chrono::milliseconds retry_after{0};

    friend bool operator==(const queue_refusal&, const queue_refusal&) = default;
};

/// Decides whether a request is accepted at all.
/// @param expected_wait estimate of the load model
/// @param time_left until the caller's deadline
/// @returns nothing when it can start in time, or the refusal with the time after which it could
std::optional<queue_refusal> refuse_if_late(std::chrono::milliseconds expected_wait,
                                            std::chrono::milliseconds time_left);

/// @attention is guarded by its owner's mutex
class fair_queue {
  public:
    explicit fair_queue(const clock& time_source) : time(time_source) {}

    void push(const queue_item& item);

    /// Takes the next item that `may_run` allows; items that it does not allow keep their place.
    std::optional<queue_item> pop(const std::function<bool(const queue_item&)>& may_run);

    /// @returns the items whose latest start has passed; they are removed
    std::vector<queue_item> take_expired();

    /// @returns true when the ticket was queued; it is removed
    bool remove(const ticket& id);

    [[nodiscard]] std::size_t size() const { return this->items.size(); }
    /// @returns work of the items that would be served before this one if it were pushed now
    [[nodiscard]] waiting_work work_before(const queue_item& item) const;

  private:
    struct tagged {
        queue_item item;
        double start_tag{0.0};
        double finish_tag{0.0};
    };

    struct lane {
        double virtual_time{0.0};
        std::map<std::string, double> last_finish;
    };

    [[nodiscard]] tagged tag(const queue_item& item) const;
    static bool comes_before(const tagged& left, const tagged& right);

    const clock& time;
    std::list<tagged> items; ///< in the order of service
    std::map<priority, lane> lanes;
};

} // namespace pomelohoist
