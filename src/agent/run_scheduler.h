#pragma once

#include "agent/crash_monitor.h"
#include "agent/fair_queue.h"
#include "agent/load_model.h"
#include "agent/suspect_list.h"
#include "agent/ticket_table.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

/// Assigns the endpoint's slots to presented tickets. One agent thread waits for each ticket.
namespace pomelohoist {

/// State or result of a wait for a slot. After any result but `granted`, the ticket has not run and never will.
enum class slot_wait_state : std::uint8_t {
    waiting,
    granted,
    cancelled,
    late, ///< the ticket cannot start before its deadline
    quarantined,
    not_ready,
    count
};

class run_scheduler {
  public:
    run_scheduler(const clock& time_source, std::uint32_t endpoint_slots, ticket_table& agent_tickets,
                  load_model& endpoint_load, suspect_list& known_suspects, const endpoint_state& endpoint);

    /// @returns expected run time of a request at the endpoint
    [[nodiscard]] std::chrono::milliseconds work(const request_size& size) const { return this->load.work(size); }

    /// @returns estimate for a request that is queued now, including the share of unused tickets that is expected to be
    /// presented
    [[nodiscard]] load_estimate estimate(const queue_item& item, const request_size& size);

    /// Waits for a slot for a presented ticket. Starts the ticket when a slot is granted; voids it otherwise.
    /// @param is_abandoned returns true when the entry no longer waits for the response
    /// @param on_queued called once when no slot is granted immediately
    slot_wait_state wait_for_slot(const queue_item& item, const request_size& size,
                                  const std::function<bool()>& is_abandoned, const std::function<void()>& on_queued);

    /// Releases the slot of a granted ticket.
    void release(const ticket& id, bool completed);

    /// Ends the wait of a voided ticket.
    void on_voided(const ticket& id);

    [[nodiscard]] std::size_t queued();
    [[nodiscard]] std::size_t running();

  private:
    struct waiting_run {
        request_size size;
        slot_wait_state state{slot_wait_state::waiting};
        std::condition_variable decided; ///< one for each ticket, so that a grant wakes one thread only
    };

    load_estimate estimate_locked(const queue_item& item, const request_size& size, std::size_t unused_tickets);
    void dispatch();
    slot_wait_state decide(const queue_item& next, const request_size& size);
    bool may_run(const queue_item& candidate);
    void drop(const ticket& id, slot_wait_state reason);
    void sweep();

    const clock& time;
    std::uint32_t slots;
    ticket_table& tickets;
    load_model& load;
    suspect_list& suspects;
    const endpoint_state& state;

    std::mutex mutex;
    fair_queue queue;
    steady_time next_sweep{};
    std::map<ticket, waiting_run> waiting_runs; ///< a map, so that references stay valid on insert and erase
    std::map<ticket, std::string> running_digests;
};

} // namespace pomelohoist
