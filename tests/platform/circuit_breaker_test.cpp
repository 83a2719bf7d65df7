#include "platform/circuit_breaker.h"

#include "platform/guarded_table.h"
#include "platform/memory_table.h"
#include "platform/standin_process.h"

#include <gtest/gtest.h>

#include <atomic>
#include <iostream>
#include <thread>

namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

void fail_times(circuit_breaker& breaker, int number) {
    for (int i = 0; i < number; ++i) {
        const auto permit = breaker.try_acquire();
        if (permit) {
            breaker.report(*permit, false);
        }
    }
}

// Guards against a breaker that opens on failures that are not consecutive, or that never opens.
TEST(circuit_breaker_test, opens_after_consecutive_failures_only) {
    const manual_clock time;
    circuit_breaker breaker{time, 3, 5s};
    fail_times(breaker, 2);
    breaker.report(*breaker.try_acquire(), true);
    fail_times(breaker, 2);
    EXPECT_FALSE(breaker.is_open());
    fail_times(breaker, 1);
    EXPECT_TRUE(breaker.is_open());
    EXPECT_FALSE(breaker.try_acquire());
}

// Guards against several probes at the end of the open time, and against a lost probe that keeps the breaker open
// forever.
TEST(circuit_breaker_test, sends_one_probe) {
    manual_clock time;
    circuit_breaker breaker{time, 1, 5s};
    const auto late = breaker.try_acquire();
    fail_times(breaker, 1);
    time.advance(5s);
    const auto probe = breaker.try_acquire();
    ASSERT_TRUE(probe);
    EXPECT_FALSE(breaker.try_acquire());
    breaker.report(*late, true);
    EXPECT_TRUE(breaker.is_open()) << "a call of an earlier state closed the breaker";
    breaker.report(*probe, false);
    EXPECT_FALSE(breaker.try_acquire());
    time.advance(5s);
    ASSERT_TRUE(breaker.try_acquire());
    time.advance(5s);
    const auto second_probe = breaker.try_acquire();
    ASSERT_TRUE(second_probe) << "a probe without a report kept the breaker open";
    breaker.report(*second_probe, true);
    EXPECT_FALSE(breaker.is_open());
}

// Guards against calls that reach the store during an outage, and against counting refused transactions as failures of
// the store.
TEST(guarded_table_test, sends_no_calls_to_the_store_during_an_outage) {
    manual_clock time;
    circuit_breaker breaker{time, 5, 5s};
    memory_table store;
    guarded_table table{store, breaker};
    for (int i = 0; i < 20; ++i) {
        EXPECT_FALSE(table.commit({{{"k", 99}}, {{"k", "v"}}})->committed);
    }
    EXPECT_FALSE(breaker.is_open());
    store.faults().set_down(true);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(table.get("k").last_error().kind, error_kind::store_unavailable);
    }
    store.faults().set_down(false);
    EXPECT_FALSE(table.get("k"));
    time.advance(5s);
    EXPECT_TRUE(table.get("k"));
}

struct wait_times {
    std::int64_t calls{0};
    std::int64_t waited_ms{0};
};

/// Runs eight callers for 4 s, each with a pause of 50 ms between its calls.
wait_times measure_waiting(table_service& table) {
    constexpr int callers = 8;
    std::atomic<std::int64_t> calls{0};
    std::atomic<std::int64_t> waited_us{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    const auto end = std::chrono::steady_clock::now() + 4s;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            while (std::chrono::steady_clock::now() < end) {
                const auto begin = std::chrono::steady_clock::now();
                table.get("k");
                waited_us +=
                    std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - begin)
                        .count();
                ++calls;
                std::this_thread::sleep_for(50ms);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    return {calls, waited_us / 1000};
}

// Guards against a breaker that does not shorten the callers' waits for a slow store (ADR 0035).
TEST(guarded_table_test, reduces_waiting_for_a_slow_store) {
    standin_process standin;
    standin.control("faults", R"({"slow_ms":2000})");
    const system_clock time;
    http_platform unguarded{standin.address(), time};
    const wait_times without = measure_waiting(unguarded);
    http_platform guarded_store{standin.address(), time};
    circuit_breaker breaker{time};
    guarded_table guarded{guarded_store, breaker};
    const wait_times with = measure_waiting(guarded);
    const auto mean = [](const wait_times& times) {
        return static_cast<double>(times.waited_ms) / static_cast<double>(times.calls);
    };
    std::cout << "slow store, without breaker: calls " << without.calls << ", waited " << without.waited_ms
              << " ms, mean " << mean(without) << " ms\nslow store, with breaker: calls " << with.calls << ", waited "
              << with.waited_ms << " ms, mean " << mean(with) << " ms\n";
    EXPECT_LT(mean(with), mean(without) / 2);
}

} // namespace
} // namespace pomelohoist
