#include "replay/routing_comparison.h"

#include <gtest/gtest.h>

using namespace pomelohoist;

// Guards against routing that is worse than a simple baseline: the p95 time to first token must be below every
// baseline's at 80% and 95% load, with one straggler, for every seed.
TEST(routing_comparison, product_is_below_every_baseline_at_high_load) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const std::vector<request_record> requests = generate_requests(seed, 20000, 30.0);
        const std::vector<std::string>& names = routing_policy_names();
        const auto summaries = compare_routing(requests, names, {0.8, 0.95}, {}, seed);
        for (std::size_t i = 0; i < summaries.size(); ++i) {
            const request_summary& default_summary = summaries[i - i % names.size()];
            if (i % names.size() != 0) {
                EXPECT_LT(default_summary.p95_first_token_ms, summaries[i].p95_first_token_ms)
                    << summaries[i].policy << " at load " << summaries[i].load << ", seed " << seed;
            }
        }
    }
}
