#include "direct/crash_quarantine.h"

#include <pomelohoist/config.h>

#include <Poco/NumberFormatter.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

std::uint32_t milliseconds_between(steady_time from, steady_time to) {
    const auto difference = std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(difference.count(), 0));
}

void add_run(endpoint_crash& crash, const lost_run& run) {
    if (std::find(crash.runs.begin(), crash.runs.end(), run) != crash.runs.end()) {
        return;
    }
    if (crash.runs.size() < config::max_lost_runs) {
        crash.runs.push_back(run);
        return;
    }
    // A run whose response had begun is more likely to be the cause.
    const auto replaced = std::find_if(crash.runs.begin(), crash.runs.end(),
                                       [&run](const lost_run& other) { return run.has_begun && !other.has_begun; });
    if (replaced != crash.runs.end()) {
        *replaced = run;
    }
}

counter& counter_of(metrics_registry& registry, const std::string& change) {
    return registry.get_counter("direct_quarantines_total", "change=\"" + change + "\"");
}

/// Selects the runs that one datagram can contain.
class evidence_builder {
  public:
    /// Adds the runs of a crash; those whose response had begun first.
    void add(const endpoint_crash& crash, std::uint32_t age_ms) {
        if (this->built.crashes.size() >= config::max_reported_crashes) {
            return;
        }
        inner::reported_crash reported{crash.incarnation, age_ms, {}};
        for (const bool has_begun : {true, false}) {
            for (const lost_run& run : crash.runs) {
                if (run.has_begun == has_begun && this->reserve(run)) {
                    reported.runs.push_back({run.request, run.has_begun});
                }
            }
        }
        if (!reported.runs.empty()) {
            this->built.crashes.push_back(std::move(reported));
        }
    }

    void add(const inner::reported_response& response) {
        if (this->built.responses.size() < config::max_reported_responses) {
            this->built.responses.push_back(response);
        }
    }

    /// @returns the traits of the added runs, in the order in which they were added
    [[nodiscard]] const std::vector<request_trait>& added_traits() const { return this->traits; }
    [[nodiscard]] inner::crash_evidence take() { return std::move(this->built); }

  private:
    bool reserve(const lost_run& run) {
        const std::vector<request_trait> own = run.request.traits();
        if (this->run_count >= config::max_lost_runs ||
            this->traits.size() + own.size() > config::max_reported_traits) {
            return false;
        }
        ++this->run_count;
        this->traits.insert(this->traits.end(), own.begin(), own.end());
        return true;
    }

    inner::crash_evidence built;
    std::vector<request_trait> traits;
    std::size_t run_count{0};
};

} // namespace

crash_quarantine::crash_quarantine(const clock& time_source, structured_log& process_log,
                                   metrics_registry& process_metrics)
    : time(time_source), log(process_log), started(counter_of(process_metrics, "started")),
      adopted(counter_of(process_metrics, "adopted")), lifted(counter_of(process_metrics, "lifted")),
      exonerated(counter_of(process_metrics, "exonerated")), traits(static_cast<long>(config::max_known_traits)) {}

trait_record crash_quarantine::record_of(request_trait trait) const {
    const Poco::SharedPtr<trait_record> found = this->traits.get(trait);
    return found ? *found : trait_record{};
}

void crash_quarantine::put_record(request_trait trait, const trait_record& record) {
    Poco::SharedPtr<trait_record> found = this->traits.get(trait);
    if (found) {
        *found = record;
    } else {
        this->traits.add(trait, record);
    }
}

void crash_quarantine::record_request(const request_fingerprint& request) {
    const std::lock_guard lock{this->mutex};
    for (const request_trait trait : request.traits()) {
        trait_record record = this->record_of(trait);
        ++record.requests;
        this->put_record(trait, record);
    }
}

bool crash_quarantine::note_response(request_trait trait, steady_time at) {
    trait_record record = this->record_of(trait);
    const bool is_due = !record.last_response || at - *record.last_response >= config::response_report_interval;
    if (!record.last_response || *record.last_response < at) {
        record.last_response = at;
        this->put_record(trait, record);
    }
    const auto held = this->known_quarantines.find(trait);
    if (held != this->known_quarantines.end() && held->second.since < at) {
        this->known_quarantines.erase(held);
        this->lifted.add();
        this->log.warn("quarantine_lifted", this->describe(trait));
    }
    return is_due;
}

void crash_quarantine::record_response(const request_fingerprint& request, steady_time at) {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    for (const request_trait trait : request.traits()) {
        if (!this->note_response(trait, at)) {
            continue;
        }
        const bool is_suspected = std::any_of(this->crashes.begin(), this->crashes.end(), [trait](const auto& crash) {
            return std::any_of(crash.runs.begin(), crash.runs.end(), [trait](const lost_run& run) {
                const std::vector<request_trait> lost = run.request.traits();
                return std::find(lost.begin(), lost.end(), trait) != lost.end();
            });
        });
        if (is_suspected) {
            this->exonerated.add();
            this->own_responses[trait] = now;
        }
    }
}

endpoint_crash& crash_quarantine::crash_of(std::uint64_t incarnation, steady_time at) {
    const auto found = std::find_if(this->crashes.begin(), this->crashes.end(),
                                    [incarnation](const auto& crash) { return crash.incarnation == incarnation; });
    if (found != this->crashes.end()) {
        return *found;
    }
    if (this->crashes.size() >= config::max_known_crashes) {
        this->crashes.erase(this->crashes.begin());
    }
    this->crashes.push_back({incarnation, at, {}});
    return this->crashes.back();
}

void crash_quarantine::record_crash(std::uint64_t incarnation, const lost_run& run, steady_time at) {
    const std::lock_guard lock{this->mutex};
    this->drop_expired();
    const steady_time now = this->time.now();
    add_run(this->crash_of(incarnation, at), run);
    own_crash& own =
        this->own_crashes.try_emplace(incarnation, own_crash{endpoint_crash{incarnation, at, {}}, now}).first->second;
    add_run(own.crash, run);
    own.recorded_at = now;
    this->is_undecided = true;
}

crash_history crash_quarantine::history(steady_time until) const {
    crash_history known;
    known.quarantines = this->known_quarantines;
    for (const endpoint_crash& crash : this->crashes) {
        if (crash.at > until) {
            continue;
        }
        known.crashes.push_back(crash);
        for (const lost_run& run : crash.runs) {
            for (const request_trait trait : run.request.traits()) {
                known.traits.try_emplace(trait, this->record_of(trait));
            }
        }
    }
    return known;
}

bool crash_quarantine::has_undecided() const {
    const std::lock_guard lock{this->mutex};
    return this->is_undecided;
}

bool crash_quarantine::decide(std::chrono::milliseconds settle_time) {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    this->drop_expired();
    this->is_undecided = std::any_of(this->crashes.begin(), this->crashes.end(),
                                     [&](const endpoint_crash& crash) { return crash.at > now - settle_time; });
    const std::map<request_trait, quarantine> begun = find_quarantines(this->history(now - settle_time), now);
    for (const auto& [trait, held] : begun) {
        this->known_quarantines[trait] = held;
        this->started.add();
        this->log.warn("quarantine_started", this->describe(trait));
    }
    return !begun.empty();
}

bool crash_quarantine::is_quarantined(const request_fingerprint& request) const {
    const std::lock_guard lock{this->mutex};
    if (this->known_quarantines.empty()) {
        return false;
    }
    const std::vector<request_trait> own = request.traits();
    return std::any_of(own.begin(), own.end(), [this](request_trait trait) {
        const auto held = this->known_quarantines.find(trait);
        return held != this->known_quarantines.end() && this->time.now() < held->second.until;
    });
}

bool crash_quarantine::is_suspect(const request_fingerprint& request) const {
    const std::lock_guard lock{this->mutex};
    return !this->crashes.empty() && pomelohoist::is_suspect(request, this->history(this->time.now()));
}

std::optional<inner::crash_evidence> crash_quarantine::evidence() const {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    std::vector<const endpoint_crash*> recent;
    for (const auto& [incarnation, own] : this->own_crashes) {
        if (now - own.recorded_at <= config::crash_report_time) {
            recent.push_back(&own.crash);
        }
    }
    std::sort(recent.begin(), recent.end(), [](const auto* left, const auto* right) { return left->at > right->at; });
    evidence_builder builder;
    for (const endpoint_crash* crash : recent) {
        builder.add(*crash, milliseconds_between(crash->at, now));
    }
    std::vector<request_trait> answered;
    for (const auto& [trait, noted_at] : this->own_responses) {
        if (now - noted_at <= config::crash_report_time) {
            answered.push_back(trait);
        }
    }
    answered.insert(answered.end(), builder.added_traits().begin(), builder.added_traits().end());
    std::set<request_trait> reported;
    for (const request_trait trait : answered) {
        const std::optional<steady_time> response = this->record_of(trait).last_response;
        if (response && reported.insert(trait).second) {
            builder.add(inner::reported_response{trait, milliseconds_between(*response, now)});
        }
    }
    inner::crash_evidence own = builder.take();
    return own.crashes.empty() && own.responses.empty() ? std::nullopt : std::optional{std::move(own)};
}

bool crash_quarantine::merge(const inner::crash_evidence& observed) {
    const std::lock_guard lock{this->mutex};
    this->drop_expired();
    const steady_time now = this->time.now();
    std::map<request_trait, steady_time> reported;
    for (const inner::reported_response& response : observed.responses) {
        const steady_time at = now - std::chrono::milliseconds{response.age_ms};
        reported[response.trait] = at;
        this->note_response(response.trait, at);
    }
    bool has_later_response = false;
    for (const inner::reported_crash& crash : observed.crashes) {
        for (const inner::reported_run& run : crash.runs) {
            add_run(this->crash_of(crash.incarnation, now - std::chrono::milliseconds{crash.age_ms}),
                    {run.request, run.has_begun});
            for (const request_trait trait : run.request.traits()) {
                const std::optional<steady_time> own = this->record_of(trait).last_response;
                const auto theirs = reported.find(trait);
                const bool is_better =
                    own && (theirs == reported.end() || *own - theirs->second >= config::response_report_interval);
                if (is_better && this->own_responses.try_emplace(trait, now).second) {
                    has_later_response = true;
                }
            }
        }
        this->is_undecided = true;
    }
    return has_later_response;
}

std::vector<inner::reported_quarantine> crash_quarantine::quarantines() const {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    std::vector<inner::reported_quarantine> in_force;
    for (const auto& [trait, held] : this->known_quarantines) {
        if (now < held.until) {
            in_force.push_back({trait, milliseconds_between(held.since, now), milliseconds_between(now, held.until)});
        }
    }
    return in_force;
}

std::uint32_t crash_quarantine::summary() const {
    std::uint32_t combined = 0;
    for (const inner::reported_quarantine& held : this->quarantines()) {
        combined ^= static_cast<std::uint32_t>(held.trait ^ (held.trait >> 32U));
    }
    return combined;
}

void crash_quarantine::adopt(const std::vector<inner::reported_quarantine>& others, steady_time asked_at) {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    for (const inner::reported_quarantine& other : others) {
        const quarantine held{now - std::chrono::milliseconds{other.age_ms},
                              asked_at + std::chrono::milliseconds{other.left_ms}};
        const std::optional<steady_time> response = this->record_of(other.trait).last_response;
        // `age_ms` was computed when the other process sent its response to the pull.
        if (response && *response > held.since - config::state_pull_timeout) {
            // The other process has missed the response that lifted it.
            this->own_responses[other.trait] = now;
            continue;
        }
        // A quarantine that has ended here must not begin again because it is still in a message.
        const auto known = this->known_quarantines.find(other.trait);
        const bool is_known =
            known != this->known_quarantines.end() && (now < known->second.until || held.until <= known->second.until);
        if (is_known || held.until <= now || this->known_quarantines.size() >= config::max_quarantines) {
            continue;
        }
        this->known_quarantines[other.trait] = held;
        this->adopted.add();
        this->log.warn("quarantine_adopted", this->describe(other.trait));
    }
}

void crash_quarantine::drop_expired() {
    const steady_time now = this->time.now();
    const steady_time oldest = now - config::new_trait_quarantine;
    std::erase_if(this->crashes, [oldest](const endpoint_crash& crash) { return crash.at < oldest; });
    std::erase_if(this->own_crashes,
                  [now](const auto& own) { return now - own.second.recorded_at > config::crash_report_time; });
    std::erase_if(this->own_responses,
                  [now](const auto& noted) { return now - noted.second > config::crash_report_time; });
    std::erase_if(this->known_quarantines, [oldest](const auto& held) { return held.second.until < oldest; });
}

std::vector<log_field> crash_quarantine::describe(request_trait trait) const {
    return {{"trait", Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(trait))},
            {"crashes", std::to_string(this->crashes.size())}};
}

} // namespace pomelohoist
