#include "direct/direct_forwarder.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

/// Admission of a forwarder's request.
namespace pomelohoist {

const engine_speed* direct_forwarder::engine() const {
    const service* own = this->request.routing->find_service(this->request.service);
    const bool is_limited = this->is_stream() && this->request.matched_route->gap_target_ms > 0;
    return is_limited && own != nullptr && own->engine ? &*own->engine : nullptr;
}

admission_request direct_forwarder::make_admission_request() const {
    const steady_time now = this->parts.time.now();
    // A retry may wait for capacity, or for a group that is being formed again, as long as the first send; the
    // request's deadline bounds both waits.
    const std::chrono::milliseconds longest = this->is_stream() ? config::longest_stream_wait : config::longest_wait;
    admission_request made{this->request.service,
                           this->is_stream(),
                           this->request.importance,
                           this->outcome.endpoints,
                           std::min(now + longest, this->request.deadline),
                           std::min(now + config::longest_reopen_wait, this->request.deadline)};
    made.prompt_tokens = this->request.prompt_tokens;
    if (this->engine() != nullptr && this->more_important > 0) {
        // A less important stream that is admitted later than this misses its latency target.
        const route& matched = *this->request.matched_route;
        const std::chrono::milliseconds target{matched.latency_target_ms};
        const std::chrono::milliseconds to_first_event{config::passes_to_first_event * matched.gap_target_ms};
        const std::chrono::milliseconds useful = std::max(target - to_first_event, config::longest_wait);
        made.until = std::min(made.until, now + useful);
        made.more_important = this->more_important;
    }
    return made;
}

std::optional<failure> direct_forwarder::acquire_permit() {
    const failure quarantined{error_kind::trait_quarantined, "endpoints crashed while they ran such requests"};
    if (this->is_quarantined()) {
        return quarantined;
    }
    admission_result admission = this->parts.admission.acquire(this->make_admission_request(), this->caller);
    if (admission.outcome == admission_outcome::admitted) {
        // The quarantine may have begun while the request waited.
        if (this->is_quarantined()) {
            return quarantined;
        }
        this->permit = std::move(admission.permit);
        this->outcome.prompt_wait = this->permit->prompt_wait;
        return std::nullopt;
    }
    this->kept_back = std::move(admission.statement);
    if (admission.outcome == admission_outcome::caller_disconnected) {
        return failure{error_kind::timeout, "the caller has left"};
    }
    if (admission.outcome == admission_outcome::closed) {
        return failure{error_kind::not_ready, "the groups of the service form anew"};
    }
    if (admission.outcome == admission_outcome::paused) {
        this->pause_left = admission.pause_left;
        return failure{error_kind::not_ready, "all endpoints of the service want a pause"};
    }
    if (admission.outcome == admission_outcome::full && this->engine() != nullptr && this->more_important > 0) {
        this->pause_left = config::overload_pause;
        this->parts.metrics
            .get_counter("direct_streams_without_room_total",
                         "more_important=\"" + std::to_string(this->more_important) + "\"")
            .add();
        const double limit = this->parts.capacity.limit_of(this->request.service);
        this->parts.log.info("stream_without_room", {{"request", this->request.request_id},
                                                     {"service", this->request.service},
                                                     {"importance", std::to_string(this->request.importance)},
                                                     {"limit", std::to_string(limit)}});
    }
    return admission.outcome == admission_outcome::full
               ? failure{error_kind::overloaded, "all endpoints of the service are full"}
               : failure{error_kind::no_endpoint, "no endpoint of the service can be used"};
}

} // namespace pomelohoist
