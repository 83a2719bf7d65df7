#include "placement/endpoint_choice.h"
#include "placement/stream_capacity.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

/// Streams that a service can carry, and who gets the room, without a network.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

const engine_speed engine{4.84, 0.435, 74800.0, 512, 7};
constexpr std::chrono::milliseconds longest_pause{120};
constexpr std::uint32_t slots = 10;
const std::string name = "s";

/// Two groups' worth of endpoints under a load that changes which experts are in demand.
class loaded_service {
  public:
    struct outcome {
        int begun{0};
        int paused_too_long{0};
        int refused{0};
    };

    /// Streams of 23 events arrive at a constant rate. For 0.7 s of each 2.4 s the experts' load is uneven.
    outcome run(double arrivals_per_s, std::chrono::milliseconds duration, bool is_limited) {
        outcome ended;
        double arrived = 0.0;
        for (std::chrono::milliseconds now{0}; now < duration;) {
            const double load = static_cast<double>(this->streams.size()) / endpoints;
            const double unevenness = now % 2400ms < 700ms ? 3.5 : 1.5;
            const std::chrono::milliseconds pass{static_cast<std::int64_t>(
                engine.steps_per_pass * (engine.step_ms + engine.stream_step_ms * load * unevenness))};
            now += pass;
            this->time.advance(pass);
            this->capacity.record_load(name, load);
            for (stream& each : this->streams) {
                this->capacity.record_pause(name, engine, pass, longest_pause);
                --each.events_left;
                each.paused_too_long = each.paused_too_long || pass > longest_pause;
            }
            std::erase_if(this->streams, [&ended](const stream& each) {
                ended.paused_too_long += each.events_left == 0 && each.paused_too_long ? 1 : 0;
                return each.events_left == 0;
            });
            arrived += arrivals_per_s * std::chrono::duration<double>{pass}.count();
            for (; arrived >= 1.0; arrived -= 1.0) {
                if (static_cast<double>(this->streams.size()) < endpoints * this->limit(is_limited)) {
                    this->streams.push_back({});
                    ++ended.begun;
                } else {
                    ++ended.refused;
                }
            }
        }
        return ended;
    }

  private:
    struct stream {
        int events_left{23};
        bool paused_too_long{false};
    };

    [[nodiscard]] double limit(bool is_limited) const {
        const double today = capacity_of(slots, true);
        return is_limited ? std::min(today, this->capacity.limit_of(name)) : today;
    }

    static constexpr double endpoints = 64.0;
    manual_clock time;
    stream_capacity capacity{this->time};
    std::vector<stream> streams;
};

} // namespace

// Guards against an overload in which every stream pauses too long while none is refused. Without the limit more than a
// quarter of the streams pause too long.
TEST(stream_capacity_test, an_overload_does_not_make_all_streams_pause_too_long) {
    constexpr double overload_per_s = 320.0;
    const loaded_service::outcome unlimited = loaded_service{}.run(overload_per_s, 30s, false);
    EXPECT_GT(unlimited.paused_too_long, unlimited.begun / 4);
    const loaded_service::outcome limited = loaded_service{}.run(overload_per_s, 30s, true);
    EXPECT_LT(limited.paused_too_long, limited.begun / 4);
    EXPECT_GT(limited.begun, unlimited.begun * 3 / 5);
}

// Guards against refusals while the groups can serve everyone.
TEST(stream_capacity_test, a_load_that_fits_is_not_limited) {
    const loaded_service::outcome ended = loaded_service{}.run(180.0, 20s, true);
    EXPECT_EQ(ended.refused, 0);
    EXPECT_EQ(ended.paused_too_long, 0);
}

// Guards against a wrong share of a pass that is attributed to the streams.
TEST(stream_capacity_test, the_number_of_streams_follows_from_a_pass) {
    // 34 ms of the pass do not depend on the streams: 100 ms for 9 streams leave room for 7.8.
    EXPECT_NEAR(streams_within(engine, {134ms, 9.0}, longest_pause), 7.7, 0.1);
    EXPECT_TRUE(std::isinf(streams_within(engine, {30ms, 9.0}, longest_pause)));
}

// Guards against a limit from one delayed stream, from a group that stalls, or from passes that are long over: the
// process may have been frozen meanwhile.
TEST(stream_capacity_test, only_recent_passes_of_several_streams_limit) {
    manual_clock time;
    stream_capacity capacity{time};
    EXPECT_TRUE(std::isinf(capacity.limit_of(name)));
    capacity.record_load(name, 9.0);
    capacity.record_pause(name, engine, 150ms, longest_pause);
    capacity.record_pause(name, engine, 150ms, longest_pause);
    EXPECT_TRUE(std::isinf(capacity.limit_of(name)));
    for (int i = 0; i < 9; ++i) {
        capacity.record_pause(name, engine, 1500ms, longest_pause);
    }
    EXPECT_TRUE(std::isinf(capacity.limit_of(name)));
    capacity.record_pause(name, engine, 150ms, longest_pause);
    EXPECT_LT(capacity.limit_of(name), 9.0);
    time.advance(6s);
    EXPECT_TRUE(std::isinf(capacity.limit_of(name)));
    capacity.record_pause(name, engine, 150ms, longest_pause);
    EXPECT_TRUE(std::isinf(capacity.limit_of(name)));
}

// Guards against less important requests that take the last room while more important ones arrive at other entries, and
// against refusals of the most important ones.
TEST(importance_test, less_important_requests_leave_room) {
    constexpr double limit = 8.0;
    EXPECT_TRUE(std::isinf(room_for(limit, slots, 0)));
    EXPECT_LT(room_for(limit, slots, 1), limit);
    EXPECT_LT(room_for(limit, slots, 2), room_for(limit, slots, 1));
    EXPECT_TRUE(std::isinf(room_for(std::numeric_limits<double>::infinity(), slots, 2)));
}

// Guards against less important requests that are refused while half of the slots are free.
TEST(importance_test, half_of_the_slots_are_for_everyone) {
    EXPECT_GE(room_for(0.5, slots, 200), slots / 2.0);
}

// Guards against room that is kept for requests that nobody sends, and against levels of another service.
TEST(importance_test, levels_count_while_they_are_asked_for) {
    manual_clock time;
    importance_levels levels{time};
    EXPECT_EQ(levels.record(name, 2), 0U);
    EXPECT_EQ(levels.record(name, 0), 0U);
    EXPECT_EQ(levels.record(name, 2), 1U);
    EXPECT_EQ(levels.record(name, 1), 1U);
    EXPECT_EQ(levels.record(name, 2), 2U);
    EXPECT_EQ(levels.record("other", 2), 0U);
    time.advance(6s);
    EXPECT_EQ(levels.record(name, 2), 2U);
    time.advance(6s);
    EXPECT_EQ(levels.record(name, 2), 0U);
}

// Guards against room that is kept for a few requests of operators or checks.
TEST(importance_test, a_few_requests_are_no_level) {
    manual_clock time;
    importance_levels levels{time};
    levels.record(name, 0);
    for (int i = 0; i < 30; ++i) {
        levels.record(name, 1);
    }
    EXPECT_EQ(levels.record(name, 1), 0U);
}

} // namespace pomelohoist
