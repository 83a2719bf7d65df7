#include "direct/crash_reporter.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <Poco/String.h>

#include <algorithm>

namespace pomelohoist {

void crash_reporter::on_response(const direct_request& request) {
    this->crashes.record_response(request.fingerprint);
}

void crash_reporter::on_lost_run(const direct_request& request, const endpoint_record& endpoint,
                                 const run_progress& progress) {
    if (progress.events >= config::proven_events) {
        return;
    }
    const steady_time lost_at = this->time.now();
    const endpoint_condition condition = this->prober.probe(endpoint.address);
    const lost_run run{request.fingerprint, progress.has_begun};
    if (condition != endpoint_condition::connection_refused) {
        // The process may have crashed all the same. Until that is known, a response that seems complete does not
        // show that the request is harmless.
        this->monitor.watch({endpoint, run, progress.is_complete && progress.is_processed, lost_at, 0});
    }
    if (progress.is_complete && condition == endpoint_condition::listening) {
        return;
    }
    this->metrics.get_counter("direct_lost_runs_total", "endpoint=\"" + std::string{name_of(condition)} + "\"").add();
    this->log.warn("run_lost", {{"request", request.request_id},
                                {"endpoint", endpoint.instance},
                                {"condition", std::string{name_of(condition)}},
                                {"begun", progress.has_begun ? "yes" : "no"},
                                {"events", std::to_string(progress.events)},
                                {"segments", Poco::cat(std::string{","}, request.shared_segments.begin(),
                                                       request.shared_segments.end())}});
    if (condition == endpoint_condition::connection_refused) {
        this->crashes.record_crash(hash64(endpoint.instance, endpoint.started_ms), run, lost_at);
        this->peers.send_crash_evidence();
    }
}

bool crash_reporter::is_quarantined(const direct_request& request) {
    if (this->crashes.has_undecided()) {
        const std::uint32_t rank = std::min(this->peers.rank_among_live(), config::crash_settle_ranks);
        if (this->crashes.decide(config::crash_settle_time + rank * config::crash_settle_step)) {
            this->peers.send_update();
        }
    }
    const bool is_held = this->crashes.is_quarantined(request.fingerprint);
    if (is_held) {
        this->metrics.get_counter("direct_quarantined_requests_total").add();
    }
    return is_held;
}

} // namespace pomelohoist
