#include "entry_fixture.h"

#include <cstdlib>

namespace pomelohoist {
namespace {

constexpr int requests_per_seed = 40;

std::uint64_t environment_number(const char* name, std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

class schedule_test : public entry_fixture {
  protected:
    // Gives each agent a random mix of successful and broken runs.
    void plan(seeded_random& choices) {
        for (auto& agent : this->agents) {
            std::vector<run_script> scripts;
            for (int i = 0; i < requests_per_seed; ++i) {
                const bool good = choices.next_fraction() < 0.6;
                const auto broken = 1 + choices.next_below(static_cast<std::size_t>(run_script::delayed_end) - 1);
                scripts.push_back(good ? run_script::respond : static_cast<run_script>(broken));
            }
            agent->script(scripts);
            agent->first_token_ms = static_cast<std::uint32_t>(choices.next_below(3));
        }
    }

    int runs_of(const std::string& path, const std::string& body) {
        std::string text;
        for (const std::string& part : {std::string{"ws"}, std::string{"default"}, path, body}) {
            text += std::to_string(part.size()) + ":" + part;
        }
        int runs = 0;
        for (auto& agent : this->agents) {
            runs += agent->runs_of(sha256_hex(text));
        }
        return runs;
    }

    void check(const http_call& call, const call_result& response, bool idempotent, bool may_have_run_before) {
        const int runs = this->runs_of(call.path, call.body);
        if (!idempotent) {
            EXPECT_LE(runs, 1) << call.body;
        }
        if (response.not_run() && !may_have_run_before) {
            EXPECT_EQ(runs, 0) << call.body << " " << response.body;
        }
        if (response.status == 200) {
            EXPECT_GE(runs, 1);
            EXPECT_EQ(response.body, "echo:" + call.body);
        } else {
            EXPECT_FALSE(response.kind().empty()) << response.body;
        }
    }
};

// Guards against faults that only a mix of broken runs shows: a second run of a non-idempotent request, "not run" for
// a request that ran, and a response that belongs to another caller. The environment variables SEEDS and SEED_BASE
// select the schedules.
TEST_F(schedule_test, random_broken_runs_keep_the_invariants) {
    this->start_agents(3);
    const std::uint64_t first = environment_number("SEED_BASE", 1);
    const std::uint64_t seeds = environment_number("SEEDS", 5);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        seeded_random choices{seed};
        this->plan(choices);
        for (int i = 0; i < requests_per_seed; ++i) {
            const std::string id = std::to_string(seed) + "-" + std::to_string(i);
            const std::size_t form = choices.next_below(3);
            if (form == 0) {
                const http_call call{"GET", "/services/desk/stock", id, {}};
                this->check(call, this->call(call), true, false);
            } else if (form == 1) {
                const http_call call = desk(id);
                this->check(call, this->call(call), false, false);
            } else {
                const http_call call = desk(id, {{"Idempotency-Key", id}});
                this->check(call, this->call(call), false, false);
                this->check(call, this->call(call), false, false);
            }
        }
    }
}

} // namespace
} // namespace pomelohoist
