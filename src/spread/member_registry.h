#pragma once

#include "common/random_source.h"
#include "platform/table_service.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Registers running entries and their addresses in rows `member/entry/NAME`.
namespace pomelohoist {

/// Content of a row, as JSON {"name", "inner", "http", "data_centre"}.
struct member {
    std::string name;
    net_address inner;
    net_address http;
    std::string data_centre;

    friend bool operator==(const member&, const member&) = default;
};

/// @returns the registered entries, including those that crashed within `row_lifetime`; or `store_unavailable`
result<std::vector<member>> list_members(table_service& table);

/// Refreshes the row of one entry, and removes rows that their owners no longer refresh.
class member_registry {
  public:
    /// A row is refreshed at this interval, with jitter.
    static constexpr std::chrono::seconds refresh_interval{60};
    /// A row whose revision has not changed for this long, by the observer's own clock, is removed.
    static constexpr std::chrono::minutes row_lifetime{5};

    member_registry(table_service& rows, const clock& time_source, random_source& random_numbers, member own);
    ~member_registry();
    member_registry(const member_registry&) = delete;
    member_registry& operator=(const member_registry&) = delete;

    /// Starts the thread that writes the row.
    void start();
    /// Stops the thread and removes the row.
    void stop();

    /// Writes the row and removes expired rows of other entries. Called by the thread, and by tests.
    /// @returns done, or `store_unavailable`
    result<done> refresh();

  private:
    struct observed_row {
        std::uint64_t revision{0};
        steady_time since{};
    };

    void loop();
    result<done> remove_expired();

    table_service& table;
    const clock& time;
    random_source& random;
    member self;
    std::map<std::string, observed_row> observed;
    std::mutex mutex;
    std::condition_variable stop_requested;
    bool stopping{false};
    std::thread thread;
};

} // namespace pomelohoist
