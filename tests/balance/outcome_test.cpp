#include "balance/balance_settings.h"
#include "replay/policy_run.h"
#include "replay/trace_generator.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <ostream>
#include <string>

using namespace pomelohoist;

/// The stated outcomes of docs/design.md, section "Measured targets". SEEDS sets the number of seeds, at least
/// `min_seeds`, and SEED_BASE the first seed.
namespace {

constexpr std::uint64_t min_seeds = 10;

struct stated_outcome {
    std::string deployment;
    trace_kind kind;
    double skew_share;
    double move_share;
};

/// Prints the parameter readably in the list of tests; the default prints raw bytes.
void PrintTo(const stated_outcome& stated, std::ostream* stream) { // NOLINT(readability-identifier-naming)
    *stream << stated.deployment << ' ' << name_of(stated.kind);
}

std::string test_name(const testing::TestParamInfo<stated_outcome>& info) {
    std::string name = info.param.deployment + "_" + std::string{name_of(info.param.kind)};
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

std::uint64_t number_from_environment(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

balance_options load_options(const std::string& deployment) {
    const std::string file = std::string{POMELOHOIST_SOURCE_DIR} + "/examples/" + deployment + "/balance.ini";
    return *read_balance_options(*settings::load(file, balance_schema()));
}

class stated_outcomes : public testing::TestWithParam<stated_outcome> {};

} // namespace

// Guards against a policy that leaves ranks slow, or copies experts unnecessarily, under a kind of load of the
// deployment.
TEST_P(stated_outcomes, hold_for_every_seed) {
    const stated_outcome& stated = this->GetParam();
    const balance_options options = load_options(stated.deployment);
    const std::uint64_t base = number_from_environment("SEED_BASE", 1);
    const std::uint64_t seeds = std::max(min_seeds, number_from_environment("SEEDS", min_seeds));
    for (std::uint64_t seed = base; seed < base + seeds; ++seed) {
        trace_generator trace{{stated.kind, seed}};
        const auto results = replay(trace, {"adaptive", "never_move", "greedy_replan"}, options);
        ASSERT_TRUE(results.has_value());
        const policy_summary& adaptive = (*results)[0].summary;
        EXPECT_LE(adaptive.p95_skew, stated.skew_share * (*results)[1].summary.p95_skew) << "seed " << seed;
        EXPECT_LE(static_cast<double>(adaptive.moves),
                  stated.move_share * static_cast<double>((*results)[2].summary.moves))
            << "seed " << seed;
        EXPECT_EQ(adaptive.stall_steps, 0U) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(balance, stated_outcomes,
                         testing::Values(stated_outcome{"kartonfeest", trace_kind::slow_drift, 0.5, 0.25},
                                         stated_outcome{"kartonfeest", trace_kind::holiday_surge, 0.5, 0.25},
                                         stated_outcome{"kartonfeest", trace_kind::sudden_flip, 0.5, 0.25},
                                         stated_outcome{"kartonfeest", trace_kind::rack_cooling, 0.8, 0.25},
                                         stated_outcome{"kartonfeest", trace_kind::steady, 0.5, 0.02},
                                         stated_outcome{"memoria-austral", trace_kind::slow_drift, 0.7, 0.1},
                                         stated_outcome{"memoria-austral", trace_kind::holiday_surge, 0.7, 0.1},
                                         stated_outcome{"memoria-austral", trace_kind::sudden_flip, 0.7, 0.1},
                                         stated_outcome{"memoria-austral", trace_kind::rack_cooling, 0.8, 0.1},
                                         stated_outcome{"memoria-austral", trace_kind::steady, 0.7, 0.02}),
                         test_name);

// Guards against a baseline that is too weak for a comparison: its skew must be far below that of `never_move`.
TEST(greedy_replan, is_a_competent_baseline) {
    for (std::uint64_t seed = 1; seed <= min_seeds; ++seed) {
        trace_generator trace{{trace_kind::steady, seed}};
        const auto results = replay(trace, {"never_move", "greedy_replan"}, balance_options{});
        EXPECT_LE((*results)[1].summary.p95_skew, 0.25 * (*results)[0].summary.p95_skew) << "seed " << seed;
    }
}
