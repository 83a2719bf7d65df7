#pragma once

#include <pomelohoist/clock.h>
#include <pomelohoist/config.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

/// Requests that were in flight when an endpoint died, by digest, with the number of deaths.
namespace pomelohoist {

class suspect_list {
  public:
    explicit suspect_list(const clock& time_source) : time(time_source) {}

    /// Counts one death for each digest. An event that was seen before changes nothing.
    void record(const std::string& event_id, const std::vector<std::string>& digests);

    /// @returns deaths within `config::suspect_lifetime` of the last one
    [[nodiscard]] std::uint32_t deaths(const std::string& digest);
    [[nodiscard]] bool is_suspect(const std::string& digest) { return this->deaths(digest) > 0; }
    /// @returns true from `config::quarantine_deaths` deaths on: the request is not run any more
    [[nodiscard]] bool is_quarantined(const std::string& digest);
    [[nodiscard]] std::size_t size();

  private:
    struct record_of_deaths {
        std::uint32_t deaths{0};
        steady_time expires{};
    };

    struct seen_event {
        std::string id;
        steady_time expires{};
    };

    void expire();

    const clock& time;
    std::mutex mutex;
    std::map<std::string, record_of_deaths> suspects;
    std::set<std::string> event_ids;
    std::deque<seen_event> events;
};

} // namespace pomelohoist
