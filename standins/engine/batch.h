#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

/// Continuous batching, prefix cache and load figures of the engine stand-in.
namespace standin {

struct engine_options {
    std::uint32_t slots{8};
    double prefill_tokens_per_ms{1000.0};
    double token_ms{0.2};
    std::size_t cache_blocks{4096}; ///< capacity of the prefix cache in blocks of 16 tokens
    std::uint32_t load_lag_ms{200};
    std::uint32_t cache_event_lag_ms{500};
    std::uint32_t cache_event_gap{10}; ///< n: every n-th event is lost; 0: no event is lost
    bool checks_fencing{true};
    std::string crash_marker;
};

struct engine_faults {
    std::uint32_t stall_ms{0}; ///< added to the time of each step
    double slow_factor{1.0};
};

struct load_figures {
    std::chrono::steady_clock::time_point recorded_at;
    std::uint32_t running{0};
    std::uint32_t queued{0};
};

struct cache_event {
    std::uint64_t number{0};
    std::chrono::steady_clock::time_point recorded_at;
    std::uint64_t block{0};
    bool stored{true}; ///< false when evicted
};

class batch {
  public:
    explicit batch(engine_options initial_options) : options(std::move(initial_options)) {}

    /// Waits for a slot. Smaller priority numbers come first, equal priorities in order of arrival.
    /// @param is_disconnected returns true when the client has closed its connection
    /// @returns false when the client disconnected before a slot was free
    bool acquire(int priority, const std::function<bool()>& is_disconnected);
    void release();

    /// @returns prompt tokens found in the prefix cache; the prompt's blocks are cached afterwards
    std::uint64_t use_cache(const std::string& prompt);

    void set_faults(const engine_faults& new_faults);
    void sleep_prefill(std::uint64_t tokens) const;
    void sleep_token() const;

    /// @returns the load figures of `load_lag_ms` ago
    [[nodiscard]] load_figures lagged_load() const;
    /// @returns the events with a number above `since` that are at least `cache_event_lag_ms` old; every
    /// `cache_event_gap`-th event is missing
    [[nodiscard]] std::vector<cache_event> events(std::uint64_t since) const;

  private:
    struct waiting {
        int priority{0};
        std::uint64_t arrival{0};
        friend bool operator==(const waiting&, const waiting&) = default;
        friend bool operator<(const waiting& left, const waiting& right) {
            return std::tie(left.priority, left.arrival) < std::tie(right.priority, right.arrival);
        }
    };

    void sample();
    void add_event(std::uint64_t block, bool stored);
    void sleep_step(double milliseconds) const;

    engine_options options;
    mutable std::mutex mutex;
    std::condition_variable slot_freed;
    std::set<waiting> queue;
    std::uint64_t arrivals{0};
    std::uint32_t running{0};
    engine_faults faults;
    std::deque<load_figures> history;
    std::list<std::uint64_t> cache_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached;
    std::deque<cache_event> event_log;
    std::uint64_t event_number{0};
};

} // namespace standin
