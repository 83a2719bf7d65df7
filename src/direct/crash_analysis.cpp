#include "direct/crash_analysis.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <set>
#include <utility>

namespace pomelohoist {

namespace {

/// Crashes that requests with a trait may have caused.
struct attributed_crashes {
    std::set<std::uint64_t> incarnations;
    std::set<request_trait> requests; ///< distinct requests with the trait
    steady_time last;

    [[nodiscard]] std::size_t crashes(request_trait trait) const {
        // Retries of one harmless request may meet several crashes; its segments then count once.
        const bool is_whole = this->requests.size() == 1 && this->requests.contains(trait);
        return is_whole ? this->incarnations.size() : std::min(this->incarnations.size(), this->requests.size());
    }
};

trait_record record_of(request_trait trait, const crash_history& history) {
    const auto found = history.traits.find(trait);
    return found != history.traits.end() ? found->second : trait_record{};
}

/// @returns true when all segments of the run have had responses since the crash
bool is_cleared(const lost_run& run, const endpoint_crash& crash, const crash_history& history) {
    const std::vector<request_trait>& segments = run.request.segments;
    return !segments.empty() && std::all_of(segments.begin(), segments.end(), [&](request_trait segment) {
        const std::optional<steady_time> response = record_of(segment, history).last_response;
        return response && *response >= crash.at;
    });
}

/// @returns the runs that may have caused the crash: an endpoint crashes as it begins a response, so the runs whose
/// response had not begun are returned only when no other can be the cause. The head of the response that crashes it
/// may never be sent.
std::vector<const lost_run*> suspect_runs(const endpoint_crash& crash, const crash_history& history) {
    std::vector<const lost_run*> runs;
    bool has_cause = false;
    for (const bool has_begun : {true, false}) {
        for (const lost_run& run : crash.runs) {
            if (run.has_begun == has_begun) {
                runs.push_back(&run);
                has_cause = has_cause || !is_cleared(run, crash, history);
            }
        }
        if (has_cause) {
            break;
        }
    }
    return runs;
}

/// @returns true when a lost run has a trait whose quarantine is in force or has expired
bool is_explained(const std::vector<const lost_run*>& runs, const std::map<request_trait, quarantine>& quarantines) {
    return std::any_of(runs.begin(), runs.end(), [&quarantines](const lost_run* run) {
        const std::vector<request_trait> traits = run->request.traits();
        return std::any_of(traits.begin(), traits.end(),
                           [&quarantines](request_trait trait) { return quarantines.contains(trait); });
    });
}

std::map<request_trait, attributed_crashes> attribute_crashes(const crash_history& history,
                                                              const std::map<request_trait, quarantine>& quarantines) {
    std::map<request_trait, attributed_crashes> attributed;
    for (const endpoint_crash& crash : history.crashes) {
        const std::vector<const lost_run*> runs = suspect_runs(crash, history);
        const bool explained = is_explained(runs, quarantines);
        for (const lost_run* run : runs) {
            for (const request_trait trait : run->request.traits()) {
                const std::optional<steady_time> response = record_of(trait, history).last_response;
                // A crash that a quarantined trait explains is attributed to that trait only.
                if ((explained && !quarantines.contains(trait)) || (response && *response >= crash.at)) {
                    continue;
                }
                attributed_crashes& own = attributed[trait];
                own.incarnations.insert(crash.incarnation);
                own.requests.insert(run->request.whole);
                own.last = std::max(own.last, crash.at);
            }
        }
    }
    return attributed;
}

std::size_t crash_limit(const trait_record& record) {
    return record.last_response ? config::proven_trait_crashes : config::new_trait_crashes;
}

std::chrono::milliseconds quarantine_time(const trait_record& record) {
    return record.last_response ? config::proven_trait_quarantine : config::new_trait_quarantine;
}

/// A trait that enough crashes are attributed to.
struct suspected_trait {
    request_trait trait{0};
    /// Of traits that occur together, one that never had a response, and then the one that fewer requests have, is the
    /// more likely cause.
    std::pair<bool, std::uint64_t> order;
    attributed_crashes attributed;
};

/// @returns the suspected traits, the most likely cause first
std::vector<suspected_trait> suspected_traits(const crash_history& history,
                                              const std::map<request_trait, quarantine>& quarantines) {
    std::vector<suspected_trait> suspected;
    for (auto& [trait, own] : attribute_crashes(history, quarantines)) {
        const trait_record record = record_of(trait, history);
        if (!quarantines.contains(trait) && own.crashes(trait) >= crash_limit(record)) {
            suspected.push_back({trait, {record.last_response.has_value(), record.requests}, own});
        }
    }
    std::stable_sort(suspected.begin(), suspected.end(),
                     [](const auto& left, const auto& right) { return left.order < right.order; });
    return suspected;
}

/// @returns true when other requests met the same crashes, so that either may have caused them
bool is_alternative(const attributed_crashes& candidate, const attributed_crashes& chosen,
                    const std::set<request_trait>& explained_requests) {
    return std::includes(candidate.incarnations.begin(), candidate.incarnations.end(), chosen.incarnations.begin(),
                         chosen.incarnations.end()) &&
           std::none_of(candidate.requests.begin(), candidate.requests.end(),
                        [&](request_trait request) { return explained_requests.contains(request); });
}

/// @returns the traits to quarantine next: the most likely cause, and its alternatives
std::vector<request_trait> next_traits(const crash_history& history,
                                       const std::map<request_trait, quarantine>& quarantines) {
    std::vector<request_trait> next;
    const std::vector<suspected_trait> suspected = suspected_traits(history, quarantines);
    std::set<request_trait> explained_requests;
    for (const suspected_trait& candidate : suspected) {
        if (next.empty() || is_alternative(candidate.attributed, suspected.front().attributed, explained_requests)) {
            next.push_back(candidate.trait);
            explained_requests.insert(candidate.attributed.requests.begin(), candidate.attributed.requests.end());
        }
    }
    return next;
}

} // namespace

std::map<request_trait, quarantine> find_quarantines(const crash_history& history, steady_time now) {
    std::map<request_trait, quarantine> quarantines = history.quarantines;
    std::map<request_trait, quarantine> begun;
    const auto begin = [&](request_trait trait) {
        begun[trait] = {now, now + quarantine_time(record_of(trait, history))};
        quarantines[trait] = begun[trait];
    };
    for (const auto& [trait, own] : attribute_crashes(history, quarantines)) {
        const auto expired = history.quarantines.find(trait);
        if (expired != history.quarantines.end() && expired->second.until <= now && own.last > expired->second.until) {
            begin(trait); // another crash after the quarantine has expired
        }
    }
    for (auto next = next_traits(history, quarantines); !next.empty(); next = next_traits(history, quarantines)) {
        std::for_each(next.begin(), next.end(), begin);
    }
    return begun;
}

bool is_suspect(const request_fingerprint& request, const crash_history& history) {
    const std::map<request_trait, attributed_crashes> attributed = attribute_crashes(history, history.quarantines);
    const std::vector<request_trait> traits = request.traits();
    return std::any_of(traits.begin(), traits.end(), [&](request_trait trait) {
        const auto own = attributed.find(trait);
        return own != attributed.end() && own->second.crashes(trait) + 1 >= crash_limit(record_of(trait, history));
    });
}

} // namespace pomelohoist
