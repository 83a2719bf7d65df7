#include "placement/endpoint_choice.h"
#include "placement/load_tracker.h"
#include "placement/unread_prompts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Placement of long and short prompts by several entries that learn of each other's requests late, on a simulated
/// clock.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t endpoint_count = 16;
constexpr std::size_t entry_count = 4;
constexpr std::uint32_t slots = 12;
// A long prompt takes 360 ms: a short prompt behind it misses the latency target.
constexpr double tokens_per_s = 8000.0;
constexpr std::uint32_t long_prompt = 2880;
constexpr std::uint32_t short_prompt = 200;
constexpr double long_share = 0.1;
constexpr double requests_per_s = 110.0; // 40% of what the endpoints can read
constexpr std::chrono::milliseconds latency_target{400};
constexpr std::chrono::milliseconds writing_time{1000}; // from the first event to the end of a stream
constexpr std::chrono::milliseconds update_interval{16};
constexpr std::chrono::milliseconds travel_time{5};
constexpr std::chrono::seconds length{60};

struct running_request {
    std::size_t entry{0};
    std::uint32_t tokens{0};
    double unread{0.0};
    unread_prompts::prompt_id prompt{0};
    steady_time arrived;
    steady_time first_event;
};

struct simulated_entry {
    explicit simulated_entry(const clock& time) : loads(time), prompts(time) {}

    load_tracker loads;
    unread_prompts prompts;
    bool is_cut_off{false};
};

struct simulated_endpoint {
    std::deque<running_request> reading;
    std::vector<running_request> writing;
    bool is_stalled{false};
};

struct sent_update {
    steady_time arrives;
    std::size_t sender{0};
    std::vector<endpoint_load> loads;
    std::optional<std::vector<unread_load>> unread;
};

struct placement_result {
    std::size_t short_prompts{0};
    std::size_t behind_long{0}; ///< short prompts placed where a long one was unread
    std::size_t late_short{0};  ///< first event after the latency target
    std::size_t long_prompts{0};
    std::size_t late_long{0};
    std::size_t placed_at_stalled{0};
};

class placement_simulation {
  public:
    /// @param is_aware false: choice as without unread prompts
    explicit placement_simulation(bool is_aware) : aware(is_aware) {
        for (std::size_t i = 0; i < entry_count; ++i) {
            this->entries.push_back(std::make_unique<simulated_entry>(this->time));
        }
    }

    placement_result run() {
        std::exponential_distribution<double> gaps{requests_per_s / 1000.0};
        double next_ms = gaps(this->draw);
        for (std::chrono::milliseconds now{0}; now < length; now += 1ms) {
            for (; next_ms <= static_cast<double>(now.count()); next_ms += gaps(this->draw)) {
                this->place();
            }
            this->read();
            this->exchange(now);
            this->time.advance(1ms);
        }
        return this->result;
    }

    std::vector<std::unique_ptr<simulated_entry>> entries;
    std::vector<simulated_endpoint> endpoints{endpoint_count};

  private:
    void place() {
        const std::size_t by = this->draw() % entry_count;
        simulated_entry& entry = *this->entries[by];
        const bool is_long = std::bernoulli_distribution{long_share}(this->draw);
        const std::uint32_t tokens = is_long ? long_prompt : short_prompt;
        std::vector<endpoint_candidate> candidates;
        for (std::size_t i = 0; i < endpoint_count; ++i) {
            const auto digest = static_cast<endpoint_digest>(i);
            endpoint_candidate candidate{i, entry.loads.total(digest), slots, capacity_of(slots, true)};
            candidate.reading_time = this->aware ? entry.prompts.reading_time(digest, tokens_per_s) : 0us;
            candidates.push_back(candidate);
        }
        const endpoint_choice choice = choose_endpoint(candidates, this->random);
        ASSERT_TRUE(choice.index);
        simulated_endpoint& endpoint = this->endpoints[*choice.index];
        (is_long ? this->result.long_prompts : this->result.short_prompts) += 1;
        const bool has_long = std::any_of(endpoint.reading.begin(), endpoint.reading.end(),
                                          [](const running_request& each) { return each.tokens == long_prompt; });
        this->result.behind_long += !is_long && has_long ? 1 : 0;
        this->result.placed_at_stalled += endpoint.is_stalled ? 1 : 0;
        const auto digest = static_cast<endpoint_digest>(*choice.index);
        entry.loads.begin(digest);
        endpoint.reading.push_back({by,
                                    tokens,
                                    static_cast<double>(tokens),
                                    entry.prompts.begin(digest, tokens, tokens_per_s),
                                    this->time.now(),
                                    {}});
    }

    /// Reads for one millisecond, in the order of arrival, and ends streams.
    void read() {
        for (std::size_t i = 0; i < endpoint_count; ++i) {
            simulated_endpoint& endpoint = this->endpoints[i];
            if (endpoint.is_stalled) {
                continue;
            }
            double readable = tokens_per_s / 1000.0;
            while (readable > 0.0 && !endpoint.reading.empty()) {
                running_request& first = endpoint.reading.front();
                const double read = std::min(readable, first.unread);
                readable -= read;
                first.unread -= read;
                if (first.unread <= 0.0) {
                    first.first_event = this->time.now() + 1ms;
                    this->record(first);
                    this->entries[first.entry]->prompts.end(static_cast<endpoint_digest>(i), first.prompt);
                    endpoint.writing.push_back(first);
                    endpoint.reading.pop_front();
                }
            }
            std::erase_if(endpoint.writing, [this, i](const running_request& each) {
                const bool has_ended = this->time.now() >= each.first_event + writing_time;
                if (has_ended) {
                    this->entries[each.entry]->loads.end(static_cast<endpoint_digest>(i));
                }
                return has_ended;
            });
        }
    }

    void record(const running_request& request) {
        const bool is_late = request.first_event - request.arrived > latency_target;
        (request.tokens == long_prompt ? this->result.late_long : this->result.late_short) += is_late ? 1 : 0;
    }

    void exchange(std::chrono::milliseconds now) {
        for (std::size_t i = 0; i < entry_count; ++i) {
            // The entries send at different times.
            const bool is_due = (now + i * update_interval / entry_count) % update_interval == 0ms;
            if (is_due && !this->entries[i]->is_cut_off) {
                this->sent.push_back({this->time.now() + travel_time, i, this->entries[i]->loads.own_loads(),
                                      this->entries[i]->prompts.own_loads()});
            }
        }
        while (!this->sent.empty() && this->sent.front().arrives <= this->time.now()) {
            const sent_update& update = this->sent.front();
            for (std::size_t i = 0; i < entry_count; ++i) {
                if (i != update.sender && !this->entries[i]->is_cut_off) {
                    const std::string sender = std::to_string(update.sender);
                    this->entries[i]->loads.set_peer_load(sender, update.loads);
                    this->entries[i]->prompts.set_peer_loads(sender, update.unread);
                }
            }
            this->sent.pop_front();
        }
    }

    bool aware;
    manual_clock time;
    seeded_random random{5};
    std::mt19937_64 draw{20};
    std::deque<sent_update> sent;
    placement_result result;
};

double share(std::size_t part, std::size_t whole) {
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(whole, 1));
}

void print(const char* name, const placement_result& result) {
    std::printf("%s: %zu short prompts, %.4f behind a long one, %.4f late; %zu long prompts, %.4f late\n", name,
                result.short_prompts, share(result.behind_long, result.short_prompts),
                share(result.late_short, result.short_prompts), result.long_prompts,
                share(result.late_long, result.long_prompts));
}

// Guards against long prompts that hold up short ones: 99 of 100 short prompts meet the latency target, and long
// prompts do not pay for it.
TEST(prompt_placement_test, short_prompts_avoid_unread_long_ones) {
    const placement_result before = placement_simulation{false}.run();
    const placement_result after = placement_simulation{true}.run();
    print("before", before);
    print("after", after);
    EXPECT_LE(share(after.late_short, after.short_prompts), 0.01);
    EXPECT_LE(share(after.late_long, after.long_prompts), share(before.late_long, before.long_prompts));
    EXPECT_LT(after.behind_long, before.behind_long);
}

// Guards against an entry that is cut off from the others, and knows its own prompts only, making things worse than
// without unread prompts.
TEST(prompt_placement_test, an_entry_that_is_cut_off_does_no_harm) {
    std::array<placement_result, 2> results;
    for (const bool is_aware : {false, true}) {
        placement_simulation simulation{is_aware};
        simulation.entries[0]->is_cut_off = true;
        results[is_aware ? 1 : 0] = simulation.run();
        print(is_aware ? "after" : "before", results[is_aware ? 1 : 0]);
    }
    EXPECT_LE(results[1].late_short, results[0].late_short);
    EXPECT_LE(results[1].late_long, results[0].late_long);
}

// Guards against an endpoint that stalls and receives more requests than its capacity, or many more than without unread
// prompts, and against other endpoints that become slower for short prompts.
TEST(prompt_placement_test, a_stalled_endpoint_is_bounded_by_its_capacity) {
    std::array<placement_result, 2> results;
    for (const bool is_aware : {false, true}) {
        placement_simulation simulation{is_aware};
        simulation.endpoints[3].is_stalled = true;
        results[is_aware ? 1 : 0] = simulation.run();
        print(is_aware ? "after" : "before", results[is_aware ? 1 : 0]);
    }
    // Each entry may use the last unit of capacity within the age of the others' updates.
    EXPECT_LE(results[1].placed_at_stalled, capacity_of(slots, true) + entry_count - 1);
    // The loads of the other endpoints may differ by a quarter of the slots.
    EXPECT_LE(results[1].placed_at_stalled, results[0].placed_at_stalled + slots / 4);
    EXPECT_LE(results[1].late_short, results[0].late_short);
}

// Guards against herding, and against a prompt that waits although an endpoint with a few requests more has none to
// read.
TEST(endpoint_choice_test, prefers_endpoints_that_read_at_once) {
    seeded_random random{3};
    const auto candidate = [](std::size_t index, std::uint32_t active, std::chrono::microseconds reading) {
        endpoint_candidate made{index, active, slots, capacity_of(slots, true)};
        made.reading_time = reading;
        return made;
    };
    std::map<std::size_t, int> choices;
    for (int i = 0; i < 200; ++i) {
        ++choices[*choose_endpoint(
                       {candidate(0, 4, 40ms), candidate(1, 5, 0ms), candidate(2, 5, 4ms), candidate(3, 7, 0ms)},
                       random)
                       .index];
    }
    EXPECT_EQ(choices.count(0) + choices.count(3), 0U);
    EXPECT_GT(choices[1], 50);
    EXPECT_GT(choices[2], 50);
    // An endpoint without a free slot is no better than one that reads.
    EXPECT_EQ(choose_endpoint({candidate(0, slots - 1, 40ms), candidate(1, slots, 0ms)}, random).index, 0U);
    // All have prompts to read: the one that is done first.
    EXPECT_EQ(choose_endpoint({candidate(0, 4, 40ms), candidate(1, 4, 90ms)}, random).index, 0U);
}

} // namespace
} // namespace pomelohoist
