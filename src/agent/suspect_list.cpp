#include "agent/suspect_list.h"

#include <algorithm>
#include <set>

namespace pomelohoist {

namespace {

// A crash adds at most the requests in flight at one endpoint, so this is enough for an hour with many crashes.
constexpr std::size_t max_suspects = 16384;
// Crashes beyond the quarantine limit need not be stored. The margin allows for concurrent runs of one digest, which
// add several records for one crash.
constexpr std::size_t max_crashes = 16;

std::vector<inner::known_crash>::iterator find_run(std::vector<inner::known_crash>& crashes, const ticket& run) {
    return std::find_if(crashes.begin(), crashes.end(), [&run](const auto& crash) { return crash.run == run; });
}

} // namespace

void suspect_list::record(const inner::suspect_report& report) {
    const std::lock_guard lock{this->mutex};
    this->expire();
    for (const inner::suspected_run& reported : report.runs) {
        suspect_record& stored = this->record_of(reported.digest);
        const auto recorded_crash = find_run(stored.crashes, reported.run);
        if (recorded_crash == stored.crashes.end()) {
            if (stored.crashes.size() < max_crashes) {
                stored.crashes.push_back({report.event_id, reported.run});
            }
            stored.expires = this->time.now() + config::suspect_lifetime;
        } else if (!report.agent_lost) {
            // A report of the agent replaces that of an entry: the agent observed the crash, but the entry only
            // inferred the crash from the loss of the agent.
            recorded_crash->event_id = report.event_id;
        }
    }
}

void suspect_list::merge(const std::vector<inner::known_suspect>& peer_suspects) {
    const std::lock_guard lock{this->mutex};
    this->expire();
    for (const inner::known_suspect& suspect : peer_suspects) {
        suspect_record& stored = this->record_of(suspect.digest);
        for (const inner::known_crash& crash : suspect.crashes) {
            if (stored.crashes.size() < max_crashes && find_run(stored.crashes, crash.run) == stored.crashes.end()) {
                stored.crashes.push_back(crash);
            }
        }
        const std::chrono::milliseconds time_left{suspect.expires_in_ms};
        const auto bounded = std::min<std::chrono::milliseconds>(time_left, config::suspect_lifetime);
        stored.expires = std::max(stored.expires, this->time.now() + bounded);
    }
}

inner::suspect_state suspect_list::state() {
    const std::lock_guard lock{this->mutex};
    this->expire();
    inner::suspect_state current;
    current.complete = this->complete;
    for (const auto& [digest, stored] : this->suspects) {
        const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(stored.expires - this->time.now());
        current.suspects.push_back({digest, stored.crashes, static_cast<std::uint32_t>(time_left.count())});
    }
    return current;
}

std::uint32_t suspect_list::crash_count(const std::string& digest) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->suspects.find(digest);
    if (found == this->suspects.end() || found->second.expires <= this->time.now()) {
        return 0;
    }
    // A request may be in flight twice at one endpoint; both runs count as one crash.
    std::set<std::string> events;
    for (const inner::known_crash& crash : found->second.crashes) {
        events.insert(crash.event_id);
    }
    return static_cast<std::uint32_t>(events.size());
}

bool suspect_list::is_quarantined(const std::string& digest) {
    return this->crash_count(digest) >= config::quarantine_crashes;
}

std::size_t suspect_list::size() {
    const std::lock_guard lock{this->mutex};
    this->expire();
    return this->suspects.size();
}

suspect_list::suspect_record& suspect_list::record_of(const std::string& digest) {
    if (!this->suspects.contains(digest) && this->suspects.size() >= max_suspects) {
        const auto oldest =
            std::min_element(this->suspects.begin(), this->suspects.end(), [](const auto& left, const auto& right) {
                return left.second.expires < right.second.expires;
            });
        this->suspects.erase(oldest);
    }
    return this->suspects[digest];
}

void suspect_list::expire() {
    const steady_time now = this->time.now();
    std::erase_if(this->suspects, [now](const auto& entry) { return entry.second.expires <= now; });
}

} // namespace pomelohoist
