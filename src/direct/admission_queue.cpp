#include "direct/admission_queue.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

/// @returns true when an endpoint may admit the request later
bool is_temporary(admission_outcome outcome) {
    return outcome == admission_outcome::full || outcome == admission_outcome::closed ||
           outcome == admission_outcome::paused;
}

/// @returns prompt tokens that an endpoint of the service reads per second, or 0 when its declaration does not say
double reading_rate_of(const routing_snapshot& snapshot, const std::string& service_name) {
    const service* declared = snapshot.routing ? snapshot.routing->find_service(service_name) : nullptr;
    return declared != nullptr && declared->engine ? declared->engine->read_tokens_per_s : 0.0;
}

std::string to_text(const endpoint_record& endpoint, const endpoint_availability& stated) {
    return "endpoint " + endpoint.instance + (stated.is_leaving ? " leaves" : " wants a pause") + ", stated " +
           std::to_string(stated.age.count()) + " ms ago to " +
           (stated.observer.empty() ? "this entry" : stated.observer);
}

} // namespace

endpoint_permit::endpoint_permit(endpoint_record endpoint_info, load_tracker& loads, unread_prompts& unread,
                                 peer_link& link, std::uint32_t tokens, double tokens_per_s)
    : endpoint(std::move(endpoint_info)), digest(digest_of_instance(this->endpoint.instance)),
      prompt_wait(unread.reading_time(this->digest, tokens_per_s)), tracker(loads), prompts(unread), peers(link),
      prompt(unread.begin(this->digest, tokens, tokens_per_s)) {
    this->tracker.begin(this->digest);
    this->peers.send_load();
}

endpoint_permit::~endpoint_permit() {
    this->record_read();
    this->tracker.end(this->digest);
    this->peers.send_load();
}

void endpoint_permit::record_read() {
    // The next update reports it. Until then, the other entries predict when the prompt is read.
    this->prompts.end(this->digest, this->prompt);
}

admission_queue::admission_queue(routing_state& current_state, load_tracker& loads, unread_prompts& unread,
                                 peer_link& link, cooldown_tracker& recent_failures, endpoint_statements& stated,
                                 cold_start_limit& cold_endpoints, stream_capacity& carried_streams,
                                 random_source& randomness, const clock& time_source)
    : state(current_state), tracker(loads), prompts(unread), peers(link), cooldowns(recent_failures),
      statements(stated), cold(cold_endpoints), capacity(carried_streams), random(randomness), time(time_source) {}

struct admission_queue::candidate_list {
    std::vector<endpoint_candidate> candidates;
    std::string statement; ///< that keeps the request from an endpoint, or empty
};

admission_queue::candidate_list admission_queue::find_candidates(const admission_request& request,
                                                                 const routing_snapshot& snapshot) {
    candidate_list found;
    const double tokens_per_s = reading_rate_of(snapshot, request.service);
    const service* const declared = snapshot.routing ? snapshot.routing->find_service(request.service) : nullptr;
    const cold_rate rate = declared != nullptr
                               ? cold_rate{std::chrono::milliseconds{declared->cold_ms}, declared->cold_per_s}
                               : cold_rate{};
    const std::uint32_t entries = rate.per_s > 0.0 ? this->peers.possible_entries() : 1;
    const std::vector<net_address> closed = this->peers.closed_engines();
    const std::size_t endpoint_count = snapshot.endpoints ? snapshot.endpoints->endpoints.size() : 0;
    for (std::size_t i = 0; i < endpoint_count; ++i) {
        const endpoint_record& record = snapshot.endpoints->endpoints[i];
        if (record.service != request.service || record.is_leaving) {
            continue;
        }
        if (snapshot.is_evacuated(record.data_centre)) {
            found.statement = "data centre " + record.data_centre + " is evacuated";
            this->cold.forget(endpoint_statements::incarnation_of(record));
            continue;
        }
        const endpoint_availability availability = this->statements.availability_of(record);
        if (availability.is_leaving || availability.pause_left > std::chrono::milliseconds{0}) {
            found.statement = to_text(record, availability);
        }
        if (availability.is_leaving) {
            continue;
        }
        const endpoint_digest digest = digest_of_instance(record.instance);
        const bool was_tried =
            std::find(request.tried.begin(), request.tried.end(), record.instance) != request.tried.end();
        const bool is_closed = std::find(closed.begin(), closed.end(), record.address) != closed.end();
        const bool is_limited =
            !this->statements.has_room(digest) ||
            !this->cold.has_room(endpoint_statements::incarnation_of(record), rate, availability.cold_left, entries);
        found.candidates.push_back({i, this->tracker.total(digest), record.slots,
                                    capacity_of(record.slots, request.is_stream), this->cooldowns.in_cooldown(digest),
                                    was_tried, is_closed, is_limited, availability.pause_left,
                                    this->prompts.reading_time(digest, tokens_per_s)});
    }
    return found;
}

void admission_queue::limit_streams(const admission_request& request, std::vector<endpoint_candidate>& candidates) {
    if (!request.is_stream || candidates.empty()) {
        return;
    }
    double active = 0.0;
    double slots = 0.0;
    for (const endpoint_candidate& candidate : candidates) {
        active += candidate.active;
        slots += candidate.slots;
    }
    const auto count = static_cast<double>(candidates.size());
    this->capacity.record_load(request.service, active / count);
    const double room =
        count * room_for(this->capacity.limit_of(request.service), slots / count, request.more_important);
    if (active >= room) {
        for (endpoint_candidate& candidate : candidates) {
            candidate.capacity = 0;
        }
    }
}

admission_result admission_queue::try_admit(const admission_request& request) {
    const routing_snapshot snapshot = this->state.current();
    auto [candidates, statement] = this->find_candidates(request, snapshot);
    this->limit_streams(request, candidates);
    const endpoint_choice choice = choose_endpoint(candidates, this->random);
    if (!choice.index) {
        if (choice.pause_left > std::chrono::milliseconds{0}) {
            return {admission_outcome::paused, nullptr, choice.pause_left, std::move(statement)};
        }
        if (choice.is_closed) {
            return {admission_outcome::closed, nullptr, {}, std::move(statement)};
        }
        return {choice.is_full ? admission_outcome::full : admission_outcome::no_endpoint,
                nullptr,
                {},
                std::move(statement)};
    }
    const endpoint_record& chosen = snapshot.endpoints->endpoints[*choice.index];
    // Before the permit is created: its constructor sends the update that contains this request.
    this->statements.record_request(digest_of_instance(chosen.instance));
    this->cold.record_request(endpoint_statements::incarnation_of(chosen));
    auto permit = std::make_unique<endpoint_permit>(chosen, this->tracker, this->prompts, this->peers,
                                                    request.prompt_tokens, reading_rate_of(snapshot, request.service));
    return {admission_outcome::admitted, std::move(permit), {}, {}};
}

bool admission_queue::is_next(const waiting_queue& queue, const waiting_key& own) {
    // A request that is no retry waits only while all endpoints are full, so that no later request can be admitted
    // either. A retry may wait while endpoints that it was sent to before have capacity.
    return std::all_of(queue.begin(), queue.find(own), [](const auto& earlier) { return earlier.second; });
}

admission_result admission_queue::acquire(const admission_request& request, caller_connection_monitor& caller) {
    std::unique_lock lock{this->mutex};
    waiting_queue& queue = this->waiting_by_service[request.service];
    const waiting_key own{request.importance, this->next_number++};
    queue.emplace(own, !request.tried.empty());
    admission_result admission;
    while (true) {
        if (is_next(queue, own)) {
            admission = this->try_admit(request);
            // Waiting is useless when the time of the first endpoint that may serve is known and too late.
            const bool is_too_late = admission.outcome == admission_outcome::paused &&
                                     this->time.now() + admission.pause_left >= request.until;
            if (is_too_late || !is_temporary(admission.outcome)) {
                break;
            }
        }
        // `closed`: the groups of all untried endpoints are being formed again. They will serve again soon, and until
        // then no endpoint can get free capacity for this request.
        const steady_time until = admission.outcome == admission_outcome::closed ? request.until_open : request.until;
        if (this->time.now() >= until) {
            // The request has not been considered yet when earlier requests wait.
            admission.outcome = is_temporary(admission.outcome) ? admission.outcome : admission_outcome::full;
            break;
        }
        if (caller.is_disconnected()) {
            admission.outcome = admission_outcome::caller_disconnected;
            break;
        }
        const steady_time next_check = this->time.now() + config::admission_poll_interval;
        this->freed.wait_until(lock, std::min(until, next_check));
    }
    queue.erase(own);
    this->freed.notify_all();
    return admission;
}

void admission_queue::wake() {
    this->freed.notify_all();
}

std::size_t admission_queue::waiting() const {
    const std::lock_guard lock{this->mutex};
    std::size_t sum = 0;
    for (const auto& [service, queue] : this->waiting_by_service) {
        sum += queue.size();
    }
    return sum;
}

} // namespace pomelohoist
