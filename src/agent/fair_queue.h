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

/// Queue of requests for the endpoint: by priority, then in weighted fair order between workspaces.
namespace pomelohoist {

struct queue_item {
    ticket id;
    std::string workspace;
    std::string digest;
    double weight{1.0}; ///< relative share of the endpoint's time for the workspace
    priority importance{priority::normal};
    std::chrono::milliseconds work{0}; ///< expected run time at the endpoint
    steady_time latest_start{};

    friend bool operator==(const queue_item&, const queue_item&) = default;
};

/// Work that is served before a request.
struct waiting_work {
    std::chrono::milliseconds work{0};
    std::size_t requests{0};

    friend bool operator==(const waiting_work&, const waiting_work&) = default;
};

/// Refusal of a request that cannot start before its deadline.
struct queue_refusal {
    failure reason;
    std::chrono::milliseconds retry_after{0};

    friend bool operator==(const queue_refusal&, const queue_refusal&) = default;
};

/// Refuses a request that is not expected to start before its deadline.
/// @param expected_wait estimate of the load model
/// @param time_left until the caller's deadline
/// @returns nothing when the request can start in time; otherwise the refusal with the time after which to retry
std::optional<queue_refusal> refuse_if_late(std::chrono::milliseconds expected_wait,
                                            std::chrono::milliseconds time_left);

/// @attention not thread-safe; the owner guards it with a mutex
class fair_queue {
  public:
    explicit fair_queue(const clock& time_source) : time(time_source) {}

    void push(const queue_item& item);

    /// Removes and returns the first item that `may_run` allows. Items that it does not allow keep their position.
    std::optional<queue_item> pop(const std::function<bool(const queue_item&)>& may_run);

    /// Removes and returns the items whose latest start has passed.
    std::vector<queue_item> extract_expired();

    /// Removes the item of the ticket.
    /// @returns true when the ticket was queued
    bool remove(const ticket& id);

    [[nodiscard]] std::size_t size() const { return this->items.size(); }
    /// @returns work of the queued items that would be served before the given item if it were pushed now
    [[nodiscard]] waiting_work work_before(const queue_item& item) const;

  private:
    struct tagged_item {
        queue_item item;
        double start_tag{0.0};
        double finish_tag{0.0};
    };

    struct priority_class {
        double virtual_time{0.0};
        std::map<std::string, double> last_finish;
    };

    [[nodiscard]] tagged_item tag(const queue_item& item) const;
    static bool comes_before(const tagged_item& left, const tagged_item& right);

    const clock& time;
    std::list<tagged_item> items; ///< sorted by service order
    std::map<priority, priority_class> priority_classes;
};

} // namespace pomelohoist
