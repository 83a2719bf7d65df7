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

/// Requests that were in flight when an endpoint crashed, by digest, with the number of crashes.
namespace pomelohoist {

class suspect_list {
  public:
    explicit suspect_list(const clock& time_source) : time(time_source) {}

    /// Records one crash for each digest. A run that has already been reported is not counted again.
    void record(const inner::suspect_report& report);
    /// Adds the suspects of a peer.
    void merge(const std::vector<inner::known_suspect>& peer_suspects);

    /// @returns all suspects, for a peer that is starting
    [[nodiscard]] inner::suspect_state state();

    /// @returns number of crashes; 0 when the last crash is older than `config::suspect_lifetime`
    [[nodiscard]] std::uint32_t crash_count(const std::string& digest);
    [[nodiscard]] bool is_suspect(const std::string& digest) { return this->crash_count(digest) > 0; }
    /// @returns true after `config::quarantine_crashes` crashes or more; the request is not run then
    [[nodiscard]] bool is_quarantined(const std::string& digest);
    [[nodiscard]] std::size_t size();

    /// Called when the suspects that were recorded before the start of this process have been loaded from peers.
    void mark_complete() { this->complete = true; }
    [[nodiscard]] bool is_complete() const { return this->complete; }

  private:
    struct suspect_record {
        std::vector<inner::known_crash> crashes;
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
