#include "common/random_source.h"
#include "direct/crash_analysis.h"
#include "direct/crash_quarantine.h"
#include "inner/codec.h"

#include <pomelohoist/config.h>

#include <gtest/gtest.h>

#include <cmath>

/// Tests of the decision which requests crash endpoints.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

constexpr request_trait bad_segment = 1;
constexpr request_trait common_segment = 2;
constexpr std::size_t known_crashes = 5; // required bound

steady_time at(std::chrono::milliseconds time) {
    return steady_time{} + 1h + time;
}

/// @returns a run of a request that is like no other
lost_run run_of(request_trait whole, std::vector<request_trait> segments, bool has_begun = true) {
    return {{1000 + whole, std::move(segments)}, has_begun};
}

/// @returns crashes one second apart, each of them during a run of its own with these segments
crash_history crashes_with(std::size_t number, const std::vector<request_trait>& segments) {
    crash_history history;
    for (std::size_t i = 0; i < number; ++i) {
        history.crashes.push_back({i, at(i * 1s), {run_of(i, segments)}});
    }
    return history;
}

std::set<request_trait> found(const crash_history& history, steady_time now = at(1min)) {
    std::set<request_trait> traits;
    for (const auto& [trait, held] : find_quarantines(history, now)) {
        traits.insert(trait);
    }
    return traits;
}

/// @returns the number of a segment, from 0; the segment with number n is drawn in proportion to 1 / sqrt(n + 1)
std::size_t popular_segment(random_source& random, std::size_t segments) {
    std::vector<double> sums;
    double sum = 0.0;
    for (std::size_t rank = 0; rank < segments; ++rank) {
        sum += 1.0 / std::sqrt(static_cast<double>(rank + 1));
        sums.push_back(sum);
    }
    const double drawn = random.next_fraction() * sum;
    return static_cast<std::size_t>(std::lower_bound(sums.begin(), sums.end(), drawn) - sums.begin());
}

} // namespace

// Guards against a quarantine that begins late, or for a segment that met fewer crashes.
TEST(crash_analysis_test, a_segment_of_the_prompt_is_found_after_its_third_crash) {
    EXPECT_TRUE(found(crashes_with(2, {bad_segment})).empty());
    EXPECT_EQ(found(crashes_with(3, {bad_segment})), std::set<request_trait>{bad_segment});
}

// Guards against refusing harmless requests that share a segment with those that crash endpoints.
TEST(crash_analysis_test, a_segment_that_harmless_requests_share_is_not_blamed) {
    crash_history answered = crashes_with(4, {common_segment, bad_segment});
    answered.traits[common_segment] = {50, at(500ms)};
    EXPECT_EQ(found(answered), std::set<request_trait>{bad_segment});
    crash_history unanswered = crashes_with(4, {common_segment, bad_segment});
    unanswered.traits[common_segment] = {50, std::nullopt};
    unanswered.traits[bad_segment] = {4, std::nullopt};
    EXPECT_EQ(found(unanswered), std::set<request_trait>{bad_segment});
}

// Guards against requests that are never found because their endpoint crashes before the head of a response is sent,
// while harmless responses have begun there.
TEST(crash_analysis_test, a_request_that_crashes_before_its_response_begins_is_found) {
    constexpr request_trait harmless_segment = 3;
    crash_history history;
    request_trait request = 0;
    for (std::size_t crash = 0; crash < known_crashes; ++crash) {
        history.crashes.push_back({crash,
                                   at(crash * 1s),
                                   {run_of(++request, {common_segment, harmless_segment}),
                                    run_of(++request, {common_segment, bad_segment}, false)}});
    }
    EXPECT_FALSE(found(history).contains(bad_segment)); // nothing shows yet that the others are harmless
    for (const request_trait segment : {common_segment, harmless_segment}) {
        history.traits[segment] = {100, at(known_crashes * 1s)};
    }
    EXPECT_EQ(found(history), std::set<request_trait>{bad_segment});
}

// Guards against blaming a harmless request because its retries met crashes that another request caused.
TEST(crash_analysis_test, retries_of_one_request_do_not_blame_its_segments) {
    crash_history history;
    for (std::uint64_t i = 0; i < 3; ++i) {
        history.crashes.push_back({i, at(i * 1s), {run_of(i, {bad_segment}), run_of(77, {common_segment}, false)}});
    }
    EXPECT_EQ(found(history), std::set<request_trait>{bad_segment});
    EXPECT_TRUE(is_suspect(run_of(8, {bad_segment}).request, history));
    EXPECT_FALSE(is_suspect(run_of(9, {common_segment}).request, history));
}

// Guards against quarantining only a harmless request whose retries met the crashes, so that the cause is not found.
TEST(crash_analysis_test, a_retried_request_does_not_hide_the_cause_of_the_same_crashes) {
    constexpr request_trait bad_request = 1055;
    constexpr request_trait retried_request = 1077;
    crash_history history;
    for (std::uint64_t i = 0; i < 3; ++i) {
        history.crashes.push_back({i, at(i * 1s), {run_of(i, {bad_segment}, false), run_of(77, {}, false)}});
    }
    history.traits[bad_segment] = {3, std::nullopt};
    history.traits[retried_request] = {1, std::nullopt};
    EXPECT_TRUE(found(history).contains(bad_segment));
    crash_history repeated;
    for (std::uint64_t i = 0; i < 3; ++i) {
        repeated.crashes.push_back({i, at(i * 1s), {run_of(55, {}, false), run_of(77, {}, false)}});
    }
    repeated.traits[bad_request] = {3, std::nullopt};
    repeated.traits[retried_request] = {1, std::nullopt};
    EXPECT_TRUE(found(repeated).contains(bad_request));
}

// Guards against blaming a trait whose requests endpoints have answered since.
TEST(crash_analysis_test, a_response_clears_earlier_crashes) {
    crash_history history = crashes_with(4, {bad_segment});
    history.traits[bad_segment] = {10, at(2500ms)};
    EXPECT_TRUE(found(history).empty());
}

// Guards against a segment that crashes endpoints only since a change of the endpoints, and is never found.
TEST(crash_analysis_test, a_segment_that_was_harmless_is_found_after_the_fifth_crash) {
    crash_history history = crashes_with(known_crashes, {bad_segment});
    history.traits[bad_segment] = {10, at(-1s)};
    EXPECT_EQ(found(history), std::set<request_trait>{bad_segment});
    history.crashes.pop_back();
    EXPECT_TRUE(found(history).empty());
}

// Guards against a quarantine that ends for good although its requests still crash endpoints.
TEST(crash_analysis_test, one_crash_after_its_end_renews_a_quarantine) {
    crash_history history = crashes_with(3, {bad_segment});
    history.quarantines[bad_segment] = {at(3s), at(30s)};
    EXPECT_TRUE(found(history).empty());
    history.crashes.push_back({9, at(31s), {run_of(9, {bad_segment, common_segment})}});
    EXPECT_EQ(found(history), std::set<request_trait>{bad_segment});
}

// Guards against refusing harmless requests that are in progress in groups of eight ranks during five crashes.
TEST(crash_analysis_test, among_many_harmless_requests_only_the_crashing_segment_is_found) {
    constexpr std::size_t segments = 60;
    constexpr std::size_t runs_at_crash = 12;
    constexpr request_trait first_harmless = 100;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        seeded_random random{seed};
        crash_history history;
        std::uint64_t request = 0;
        for (std::size_t crash = 0; crash < known_crashes; ++crash) {
            endpoint_crash next{crash, at(crash * 2s), {}};
            next.runs.push_back(run_of(++request, {first_harmless + popular_segment(random, segments), bad_segment}));
            for (std::size_t i = 1; i < runs_at_crash; ++i) {
                const request_trait segment = first_harmless + popular_segment(random, segments);
                next.runs.push_back(run_of(++request, {segment}, random.next_below(10) == 0));
                history.traits.try_emplace(segment, trait_record{100, at(-5s)});
            }
            history.crashes.push_back(next);
            for (const auto& [trait, held] : find_quarantines(history, next.at)) {
                EXPECT_EQ(trait, bad_segment) << "seed " << seed;
                history.quarantines[trait] = held;
            }
        }
        EXPECT_TRUE(history.quarantines.contains(bad_segment)) << "seed " << seed;
    }
}

namespace {

class crash_quarantine_test : public testing::Test {
  protected:
    void crash(crash_quarantine& entry, std::uint64_t incarnation, const lost_run& run) {
        entry.record_crash(incarnation, run);
        this->time.advance(1s);
    }

    manual_clock time;
    structured_log log{make_null_log()};
    metrics_registry metrics;
    crash_quarantine first{this->time, this->log, this->metrics};
    crash_quarantine second{this->time, this->log, this->metrics};
};

} // namespace

// Guards against crashes that are not recognised because each of them was seen by another entry.
TEST_F(crash_quarantine_test, observations_of_several_entries_are_combined) {
    this->time.advance(1h);
    this->crash(this->first, 1, run_of(1, {bad_segment}));
    this->crash(this->second, 2, run_of(2, {bad_segment}));
    this->crash(this->first, 3, run_of(3, {bad_segment}));
    EXPECT_FALSE(this->second.decide(0ms));
    const auto evidence = this->first.evidence();
    ASSERT_TRUE(evidence);
    for (int repeated = 0; repeated < 3; ++repeated) {
        this->second.merge(*evidence);
    }
    EXPECT_TRUE(this->second.decide(0ms));
    EXPECT_TRUE(this->second.is_quarantined({7, {common_segment, bad_segment}}));
    EXPECT_FALSE(this->second.is_quarantined({7, {common_segment}}));
    EXPECT_NE(this->first.summary(), this->second.summary());
    this->first.adopt(this->second.quarantines());
    EXPECT_EQ(this->first.summary(), this->second.summary());
    EXPECT_TRUE(this->first.is_quarantined({8, {bad_segment}}));
}

// Guards against blaming a segment by entries that have not seen the responses that other entries have.
TEST_F(crash_quarantine_test, responses_that_another_entry_has_seen_count) {
    this->time.advance(1h);
    this->second.record_response({70, {common_segment}});
    for (std::uint64_t i = 0; i < 3; ++i) {
        this->crash(this->first, i, run_of(i, {common_segment, bad_segment}));
    }
    EXPECT_TRUE(this->second.merge(*this->first.evidence()));
    this->first.merge(*this->second.evidence());
    EXPECT_TRUE(this->first.decide(0ms));
    EXPECT_TRUE(this->first.is_quarantined({71, {bad_segment}}));
    EXPECT_FALSE(this->first.is_quarantined({72, {common_segment}}));
}

// Guards against a quarantine that outlasts the proof that its requests are harmless, or that a slow entry brings back.
TEST_F(crash_quarantine_test, a_response_lifts_a_quarantine_everywhere) {
    this->time.advance(1h);
    for (std::uint64_t i = 0; i < 3; ++i) {
        this->crash(this->first, i, run_of(i, {common_segment}));
    }
    ASSERT_TRUE(this->first.decide(0ms));
    this->second.adopt(this->first.quarantines());
    ASSERT_TRUE(this->second.is_quarantined({70, {common_segment}}));
    this->time.advance(1s);
    const std::vector<inner::reported_quarantine> late = this->second.quarantines();
    this->first.record_response({71, {common_segment}});
    ASSERT_TRUE(this->first.evidence());
    this->second.merge(*this->first.evidence());
    EXPECT_FALSE(this->second.is_quarantined({70, {common_segment}}));
    this->time.advance(300ms);
    this->first.adopt(late);
    EXPECT_FALSE(this->first.is_quarantined({70, {common_segment}}));
}

// Guards against a quarantine that never ends, since processes send it back to each other and each message takes time.
TEST_F(crash_quarantine_test, an_old_copy_of_an_ended_quarantine_is_not_adopted) {
    this->time.advance(1h);
    for (std::uint64_t i = 0; i < 3; ++i) {
        this->crash(this->first, i, run_of(i, {common_segment}));
    }
    ASSERT_TRUE(this->first.decide(0ms));
    const std::chrono::milliseconds left{this->first.quarantines().front().left_ms};
    steady_time asked_at = this->time.now();
    std::vector<inner::reported_quarantine> answer = this->first.quarantines();
    this->time.advance(100ms);
    this->second.adopt(answer, asked_at);
    this->time.advance(left - 110ms);
    // Both ask shortly before the end, and get the responses after it.
    asked_at = this->time.now();
    const std::vector<inner::reported_quarantine> to_first = this->second.quarantines();
    const std::vector<inner::reported_quarantine> to_second = this->first.quarantines();
    ASSERT_EQ(to_second.size(), 1U);
    this->time.advance(100ms);
    this->first.adopt(to_first, asked_at);
    this->second.adopt(to_second, asked_at);
    EXPECT_FALSE(this->first.is_quarantined({70, {common_segment}}));
    EXPECT_FALSE(this->second.is_quarantined({70, {common_segment}}));
}

// Guards against an entry that lets requests run which others still refuse, since its own quarantine of them was
// shorter.
TEST_F(crash_quarantine_test, a_longer_quarantine_is_adopted_when_the_own_one_has_ended) {
    this->time.advance(1h);
    for (std::uint64_t i = 0; i < 3; ++i) {
        this->crash(this->first, i, run_of(i, {common_segment}));
    }
    ASSERT_TRUE(this->first.decide(0ms));
    const inner::reported_quarantine own = this->first.quarantines().front();
    this->time.advance(std::chrono::milliseconds{own.left_ms});
    ASSERT_FALSE(this->first.is_quarantined({70, {common_segment}}));
    this->first.adopt({{own.trait, own.age_ms + own.left_ms, 60000}});
    EXPECT_TRUE(this->first.is_quarantined({70, {common_segment}}));
}

// Guards against a quarantine that was lifted and comes back with a process that was out of touch at that time.
TEST_F(crash_quarantine_test, an_old_copy_of_a_lifted_quarantine_is_lifted_as_well) {
    this->time.advance(1h);
    for (std::uint64_t i = 0; i < 3; ++i) {
        this->crash(this->first, i, run_of(i, {common_segment}));
    }
    ASSERT_TRUE(this->first.decide(0ms));
    this->second.adopt(this->first.quarantines());
    this->time.advance(1s);
    this->first.record_response({71, {common_segment}});
    this->time.advance(config::crash_report_time + 1s);
    EXPECT_FALSE(this->first.evidence()) << "the others have received it long ago";
    this->first.adopt(this->second.quarantines());
    EXPECT_FALSE(this->first.is_quarantined({70, {common_segment}}));
    const auto evidence = this->first.evidence();
    ASSERT_TRUE(evidence);
    this->second.merge(*evidence);
    EXPECT_FALSE(this->second.is_quarantined({70, {common_segment}}));
}

// Guards against evidence that never arrives because its datagram is too long, or that omits the run to blame.
TEST_F(crash_quarantine_test, evidence_of_many_long_prompts_fits_into_a_datagram) {
    constexpr std::size_t max_bytes = 4096; // half of the receive buffer; the other half is for load and limits
    this->time.advance(1h);
    std::uint64_t request = 0;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        for (int run = 0; run < 80; ++run) {
            std::vector<request_trait> segments;
            for (std::size_t segment = 0; segment < config::max_fingerprint_segments; ++segment) {
                segments.push_back(++request * 1000 + segment);
                this->first.record_response({request, {segments.back()}});
            }
            this->first.record_crash(incarnation, run_of(++request, segments, false));
        }
        this->crash(this->first, incarnation, run_of(++request, {bad_segment}));
    }
    const auto evidence = this->first.evidence();
    ASSERT_TRUE(evidence);
    EXPECT_LE(inner::encode(*evidence).size(), max_bytes);
    this->second.merge(*evidence);
    EXPECT_TRUE(this->second.decide(0ms));
    EXPECT_TRUE(this->second.is_quarantined({7, {bad_segment}}));
}

} // namespace pomelohoist
