#pragma once

#include "inner/messages.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/config.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// Requests that were in flight when an endpoint died, by digest, with the number of deaths.
namespace pomelohoist {

class suspect_list {
  public:
    explicit suspect_list(const clock& time_source) : time(time_source) {}

    /// Counts one death for each digest. A run that was reported before changes nothing.
    void record(const inner::suspect_report& report);
    /// Adds what a peer knows.
    void merge(const std::vector<inner::known_suspect>& learned);

    /// @returns all suspects, for a peer that has started
    [[nodiscard]] inner::suspect_state state();

    /// @returns deaths within `config::suspect_lifetime` of the last one
    [[nodiscard]] std::uint32_t deaths(const std::string& digest);
    [[nodiscard]] bool is_suspect(const std::string& digest) { return this->deaths(digest) > 0; }
    /// @returns true from `config::quarantine_deaths` deaths on: the request is not run any more
    [[nodiscard]] bool is_quarantined(const std::string& digest);
    [[nodiscard]] std::size_t size();

    /// The suspects of the time before this process started are known as far as peers know them.
    void mark_complete() { this->complete = true; }
    [[nodiscard]] bool is_complete() const { return this->complete; }

  private:
    struct suspect_record {
        std::vector<inner::known_death> deaths;
        steady_time expires{};
    };

    suspect_record& record_of(const std::string& digest);
    void expire();

    const clock& time;
    std::atomic<bool> complete{false};
    std::mutex mutex;
    std::map<std::string, suspect_record> suspects;
};

} // namespace pomelohoist
