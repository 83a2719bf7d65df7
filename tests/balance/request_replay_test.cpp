#include "replay/request_run.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace pomelohoist;

namespace {

/// Always picks the same endpoints.
class fixed_policy : public candidate_policy {
  public:
    explicit fixed_policy(std::vector<std::uint32_t> endpoints) : indices(std::move(endpoints)) {}
    std::vector<endpoint_handle> pick(const routing_query& /*query*/,
                                      const std::vector<routing_candidate>& /*reachable*/) override {
        std::vector<endpoint_handle> handles;
        for (const std::uint32_t index : this->indices) {
            handles.push_back({index});
        }
        return handles;
    }

  private:
    std::vector<std::uint32_t> indices;
};

/// Ranks the offer with the earliest first token first.
class earliest_ranking : public offer_ranking {
  public:
    [[nodiscard]] std::vector<std::size_t> rank(const std::vector<routing_offer>& offers) const override {
        std::vector<std::size_t> order{0};
        for (std::size_t i = 1; i < offers.size(); ++i) {
            if (offers[i].expected_first_token_ms < offers[order.front()].expected_first_token_ms) {
                order.insert(order.begin(), i);
            } else {
                order.push_back(i);
            }
        }
        return order;
    }
};

endpoint_model_options one_slot() {
    endpoint_model_options options;
    options.slots = 1;
    options.prefill_tokens_per_ms = 1.0;
    options.token_ms = 1.0;
    options.prefix_share = 0.5;
    options.cached_prefixes = 1;
    return options;
}

request_record request(const std::string& prefix) {
    return {0.0, "w", "a", prefix, 100, 50, true};
}

} // namespace

// Guards against a model that omits the queue, the cache, the cache's limit, or the speed of a straggler.
TEST(endpoint_model, adds_queue_prefill_and_cache) {
    endpoint_model endpoint{one_slot(), 1.0};
    EXPECT_DOUBLE_EQ(endpoint.run(request("p"), 1000.0), 100.0);
    EXPECT_DOUBLE_EQ(endpoint.run(request("p"), 1000.0), 150.0 + 50.0);
    EXPECT_DOUBLE_EQ(endpoint.run(request("q"), 5000.0), 100.0);
    EXPECT_EQ(endpoint.cached_tokens(request("p")), 0U);
    EXPECT_EQ(endpoint.cached_tokens(request("q")), 50U);
    endpoint_model straggler{one_slot(), 0.5};
    EXPECT_DOUBLE_EQ(straggler.run(request("p"), 0.0), 200.0);
}

// Guards against policies that use the current load instead of the reported load, which is two seconds old.
TEST(endpoint_model, reports_the_load_of_the_past) {
    endpoint_model endpoint{one_slot(), 1.0};
    endpoint.run(request(""), 1000.0);
    endpoint.run(request(""), 1100.0);
    EXPECT_EQ(endpoint.load_at(999.0), 0U);
    EXPECT_EQ(endpoint.load_at(1120.0), 2U);
    EXPECT_EQ(endpoint.load_at(1200.0), 1U);
    EXPECT_EQ(endpoint.load_at(1301.0), 0U);
}

// Guards against offers that are requested but not used, which would hide the benefit of fresh offers.
TEST(request_replay, uses_the_best_offer) {
    const std::vector<request_record> requests = generate_requests(1, 2000, 20.0);
    const earliest_ranking ranking;
    fixed_policy straggler_only{{0}};
    fixed_policy two{{0, 1}};
    const endpoint_model_options options;
    const request_summary alone = run_requests(requests, {"alone", &straggler_only, 1}, ranking, options, 0.05);
    const request_summary best = run_requests(requests, {"best", &two, 2}, ranking, options, 0.05);
    EXPECT_LT(best.p95_first_token_ms, 0.6 * alone.p95_first_token_ms);
}

// Guards against a request trace that loses a field, or in which an invalid line is accepted.
TEST(request_trace, reads_what_it_writes_and_names_bad_lines) {
    const std::string file =
        (std::filesystem::temp_directory_path() / ("pomelohoist_requests_" + std::to_string(::getpid()))).string();
    const std::vector<request_record> requests = generate_requests(7, 50, 20.0);
    ASSERT_TRUE(write_request_trace(requests, file).has_value());
    EXPECT_EQ(*read_request_trace(file), requests);
    std::ofstream{file, std::ios::app} << R"({"at_ms":-1})" << '\n';
    EXPECT_EQ(read_request_trace(file).last_error().reason, file + ":52: at_ms is not a number of at least 0");
    std::filesystem::remove(file);
}
