#pragma once

#include "common/log.h"
#include "common/metrics.h"
#include "direct/crash_analysis.h"
#include "direct/crash_messages.h"
#include "direct/request_fingerprint.h"

#include <pomelohoist/clock.h>

#include <Poco/LRUCache.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

/// Quarantine of requests that crash endpoints.
namespace pomelohoist {

/// Combines the observations of all entries: requests that crash endpoints arrive at any entry, so few entries observe
/// more than one of the crashes. Thread-safe.
class crash_quarantine {
  public:
    crash_quarantine(const clock& time_source, structured_log& process_log, metrics_registry& process_metrics);

    /// Counts a caller's request.
    void record_request(const request_fingerprint& request);
    /// Records a response to the request; lifts the quarantine of its traits.
    void record_response(const request_fingerprint& request) { this->record_response(request, this->time.now()); }
    /// @param at time of the response, some seconds ago at most
    void record_response(const request_fingerprint& request, steady_time at);
    /// Records a run that a crash interrupted.
    void record_crash(std::uint64_t incarnation, const lost_run& run) {
        this->record_crash(incarnation, run, this->time.now());
    }
    /// @param at time of the crash, some seconds ago at most
    void record_crash(std::uint64_t incarnation, const lost_run& run, steady_time at);

    /// @returns true when `decide` has to be called: a crash was added, or was too recent at the last call
    [[nodiscard]] bool has_undecided() const;
    /// Begins the quarantines that follow from the crashes that are older than `settle_time`.
    /// @returns true when a quarantine has begun
    bool decide(std::chrono::milliseconds settle_time);
    [[nodiscard]] bool is_quarantined(const request_fingerprint& request) const;
    /// @returns true when one more crash would put the request into quarantine
    [[nodiscard]] bool is_suspect(const request_fingerprint& request) const;

    /// @returns the observations of this process in the last `config::crash_report_time`, or nothing
    [[nodiscard]] std::optional<inner::crash_evidence> evidence() const;
    /// Adds the observations of another entry.
    /// @returns true when this process has recorded a later response to one of the traits; `evidence` then contains it
    bool merge(const inner::crash_evidence& observed);

    /// @returns quarantines in force
    [[nodiscard]] std::vector<inner::reported_quarantine> quarantines() const;
    /// @returns a digest of the traits in quarantine, to compare with other processes; 0 for none
    [[nodiscard]] std::uint32_t summary() const;
    /// Adds the quarantines of another process, except of traits that have had a response since.
    void adopt(const std::vector<inner::reported_quarantine>& others) { this->adopt(others, this->time.now()); }
    /// @param asked_at time before the other process sent them; what is left of them counts from then
    void adopt(const std::vector<inner::reported_quarantine>& others, steady_time asked_at);

  private:
    endpoint_crash& crash_of(std::uint64_t incarnation, steady_time at);
    /// @returns true when the response has to be reported to the other entries
    bool note_response(request_trait trait, steady_time at);
    [[nodiscard]] trait_record record_of(request_trait trait) const;
    void put_record(request_trait trait, const trait_record& record);
    [[nodiscard]] crash_history history(steady_time until) const;
    void drop_expired();
    [[nodiscard]] std::vector<log_field> describe(request_trait trait) const;

    /// A crash that this process has observed.
    struct own_crash {
        endpoint_crash crash;
        steady_time recorded_at; ///< may be later than the crash
    };

    using trait_cache = Poco::LRUCache<request_trait, trait_record, Poco::NullMutex, Poco::NullMutex>;

    const clock& time;
    structured_log& log;
    counter& started;
    counter& adopted;
    counter& lifted;
    counter& exonerated;
    mutable std::mutex mutex;
    mutable trait_cache traits; ///< `mutable`: a lookup changes the order of use
    std::vector<endpoint_crash> crashes;
    std::map<request_trait, quarantine> known_quarantines; ///< including those that have expired
    std::map<std::uint64_t, own_crash> own_crashes;        ///< runs of this process only
    std::map<request_trait, steady_time> own_responses;    ///< traits of lost runs that had a response, with its time
    bool is_undecided{false};
};

} // namespace pomelohoist
