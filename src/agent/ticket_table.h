#pragma once

#include "inner/messages.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/config.h>
#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

/// Tickets of one incarnation of an agent. Only this table decides whether a run may start.
namespace pomelohoist {

/// States of a ticket: issued -> presented (run received, queued) -> running -> finished. An issued or presented ticket
/// can be voided; after that it never runs.
class ticket_table {
  public:
    /// @param process_incarnation random number of this process, not 0
    /// @param max_remembered maximum number of open tickets; also that of voided and that of finished tickets
    ticket_table(const clock& time_source, std::uint64_t process_incarnation,
                 std::size_t max_remembered = config::max_remembered_tickets);

    /// @param digest of the request that the ticket is for
    /// @returns a ticket that expires after `config::ticket_lifetime`, or `overloaded` when too many tickets are open
    result<ticket> issue(const std::string& digest);

    /// Accepts a run message.
    /// @returns done for the first message with the matching digest within the lifetime; `ticket_refused` when the
    /// ticket has not run and never will; `in_progress` or `outcome_unknown` when another message may have started it
    result<done> present(const ticket& target, const std::string& digest);

    /// Marks the ticket as running. From this call on, the request counts as run.
    /// @returns true at most once for each ticket, and only while it is presented
    bool start(const ticket& target);

    /// Records the end of a started run.
    void finish(const ticket& target);

    /// Voids the ticket unless its run has started.
    /// @returns `not_started` when the ticket was voided by this call or earlier, `running` during the run, `started`
    /// when the run has finished, or `unknown` when the ticket has no record; never `completed`
    inner::ticket_state cancel(const ticket& target);

    /// @returns number of tickets that are presented, running, or issued and not expired
    [[nodiscard]] std::size_t open_count();
    /// @returns number of tickets that are issued and not expired
    [[nodiscard]] std::size_t unused_count();
    [[nodiscard]] std::uint64_t incarnation() const { return this->own_incarnation; }

  private:
    enum class phase : std::uint8_t { issued, presented, running, voided, finished, count };

    struct record {
        std::string digest;
        phase state{phase::issued};
    };

    struct deadline {
        std::uint64_t number{0};
        steady_time at{};
    };

    /// Ticket numbers in the order in which they reached a final phase; the oldest are evicted first.
    using final_order = std::deque<std::uint64_t>;

    record* find(const ticket& target);
    void expire();
    void void_record(std::uint64_t number, record& stored);
    void record_final(final_order& final_numbers, std::uint64_t number);

    const clock& time;
    std::uint64_t own_incarnation;
    std::size_t limit;
    std::mutex mutex;
    std::uint64_t last_number{0};
    std::map<std::uint64_t, record> records;
    std::deque<deadline> deadlines;
    final_order voided;
    final_order finished;
    std::size_t issued{0};
    std::size_t open{0};
};

} // namespace pomelohoist
