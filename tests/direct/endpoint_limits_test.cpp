#include "direct/endpoint_statements.h"
#include "direct/update_schedule.h"
#include "placement/rate_bucket.h"

#include <pomelohoist/config.h>

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

/// Tests of endpoints' rate limits with a simulated clock.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

endpoint_record limited_record() {
    return {"i-1", "s", {"10.0.0.1", 80}, "dc", 12, false, 0};
}

/// Entries that forward requests to one limited endpoint and exchange updates of their load.
class limited_deployment {
  public:
    limited_deployment(std::size_t entry_count, double limit_per_s) : limit(std::to_string(limit_per_s)) {
        for (std::size_t i = 0; i < entry_count; ++i) {
            this->entries.push_back(std::make_unique<endpoint_statements>(this->time, this->log));
        }
        this->entries.front()->record_response(this->endpoint, this->limit);
        this->exchange();
    }

    /// Offers requests at an even rate, through the entries in turn.
    void offer(double requests_per_s, std::chrono::seconds duration) {
        const std::chrono::duration<double> interval{1.0 / requests_per_s};
        const auto step = std::chrono::duration_cast<std::chrono::nanoseconds>(interval);
        const steady_time end = this->time.now() + duration;
        steady_time next_update = this->time.now();
        for (std::size_t i = 0; this->time.now() < end; ++i) {
            endpoint_statements& entry = *this->entries[i * step_between_entries % this->entries.size()];
            if (entry.has_room(digest_of_instance(this->endpoint.instance))) {
                entry.record_request(digest_of_instance(this->endpoint.instance));
                entry.record_response(this->endpoint, this->limit);
                this->admitted.push_back(this->time.now());
            }
            this->time.advance(step);
            if (this->time.now() >= next_update) {
                this->exchange();
                next_update = this->time.now() + load_update_interval(this->entries.size());
            }
        }
    }

    [[nodiscard]] std::size_t most_in(std::chrono::seconds window) const {
        std::deque<steady_time> recent;
        std::size_t most = 0;
        for (const steady_time at : this->admitted) {
            recent.push_back(at);
            while (recent.front() <= at - window) {
                recent.pop_front();
            }
            most = std::max(most, recent.size());
        }
        return most;
    }

    [[nodiscard]] std::size_t total() const { return this->admitted.size(); }

  private:
    static constexpr std::size_t step_between_entries = 7;

    void exchange() {
        for (std::size_t from = 0; from < this->entries.size(); ++from) {
            const std::vector<reported_limit> report = this->entries[from]->report(config::limit_report_time);
            for (std::size_t to = 0; to < this->entries.size() && !report.empty(); ++to) {
                if (to != from) {
                    this->entries[to]->merge(std::to_string(from), report);
                }
            }
        }
    }

    const endpoint_record endpoint{limited_record()};
    const std::string limit;
    manual_clock time;
    structured_log log{make_null_log()};
    std::vector<std::unique_ptr<endpoint_statements>> entries;
    std::vector<steady_time> admitted;
};

} // namespace

// Guards against a limit that many entries exceed or leave unused; four times as many requests are offered.
TEST(endpoint_limits_test, any_number_of_entries_enforces_and_uses_a_limit) {
    constexpr std::chrono::seconds duration{40};
    constexpr std::chrono::seconds window{4};
    for (const std::size_t entries : {10U, 53U, 360U}) {
        for (const double limit : {2.0, 20.0}) {
            limited_deployment deployment{entries, limit};
            deployment.offer(4.0 * limit, duration);
            EXPECT_LE(static_cast<double>(deployment.most_in(window)), 1.5 * limit * window.count() + 5.0)
                << entries << " entries, " << limit << "/s";
            EXPECT_GE(static_cast<double>(deployment.total()), 0.8 * limit * duration.count())
                << entries << " entries, " << limit << "/s";
            EXPECT_LE(static_cast<double>(deployment.total()), 1.1 * limit * duration.count())
                << entries << " entries, " << limit << "/s";
        }
    }
}

// Guards against an endpoint that receives no request after a limit of 0, so that no response can lift the limit.
TEST(endpoint_limits_test, a_limit_of_zero_admits_a_few_requests) {
    manual_clock time;
    rate_bucket bucket{0.0, time.now()};
    int admitted = 0;
    for (int second = 0; second < 60; ++second) {
        if (bucket.has_room(time.now())) {
            bucket.take(1.0, time.now());
            ++admitted;
        }
        time.advance(1s);
    }
    EXPECT_GE(admitted, 2);
    EXPECT_LE(admitted, 15);
}

// Guards against a malformed limit that stops an endpoint's requests.
TEST(endpoint_limits_test, an_unusable_limit_is_ignored) {
    manual_clock time;
    structured_log log = make_null_log();
    endpoint_statements limits{time, log};
    for (const char* text : {"", "fast", "-1", "nan", "inf", "1e999", "2 per s"}) {
        limits.record_response(limited_record(), text);
        for (int i = 0; i < 5; ++i) {
            limits.record_request(digest_of_instance("i-1"));
        }
        EXPECT_TRUE(limits.has_room(digest_of_instance("i-1"))) << text;
    }
}

// Guards against an overtaken response that lifts a limit that is still in force.
TEST(endpoint_limits_test, a_response_without_a_limit_lifts_it_only_after_a_delay) {
    manual_clock time;
    structured_log log = make_null_log();
    endpoint_statements limits{time, log};
    const endpoint_digest endpoint = digest_of_instance("i-1");
    limits.record_response(limited_record(), "1.5");
    limits.record_request(endpoint);
    time.advance(20ms);
    limits.record_response(limited_record(), std::nullopt);
    EXPECT_FALSE(limits.has_room(endpoint));
    time.advance(config::response_reorder_time);
    limits.record_response(limited_record(), std::nullopt);
    EXPECT_TRUE(limits.has_room(endpoint));
}

} // namespace pomelohoist
