#include "direct/place_queue.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

endpoint_place::endpoint_place(endpoint_record chosen, load_tracker& loads, peer_link& link)
    : endpoint(std::move(chosen)), digest(digest_of_instance(this->endpoint.instance)), board(loads), peers(link) {
    this->board.begin(this->digest);
    this->peers.announce_load();
}

endpoint_place::~endpoint_place() {
    this->board.end(this->digest);
    this->peers.announce_load();
}

place_queue::place_queue(routing_state& in_force, load_tracker& loads, peer_link& link, endpoint_avoidance& avoided,
                         random_source& randomness, const clock& time_source)
    : shared(in_force), board(loads), peers(link), avoidance(avoided), random(randomness), time(time_source) {}

place_result place_queue::try_place(const place_request& request) {
    const routing_snapshot seen = this->shared.current();
    std::vector<endpoint_candidate> candidates;
    const std::vector<net_address> closed = this->peers.closed_engines();
    const std::size_t known = seen.endpoints ? seen.endpoints->endpoints.size() : 0;
    for (std::size_t i = 0; i < known; ++i) {
        const endpoint_record& record = seen.endpoints->endpoints[i];
        if (record.service != request.service || record.is_leaving) {
            continue;
        }
        const endpoint_digest digest = digest_of_instance(record.instance);
        const bool was_tried =
            std::find(request.tried.begin(), request.tried.end(), record.instance) != request.tried.end();
        const bool is_closed = std::find(closed.begin(), closed.end(), record.address) != closed.end();
        candidates.push_back({i, this->board.total(digest), record.slots, places_of(record.slots, request.is_stream),
                              this->avoidance.in_cooldown(digest), was_tried, is_closed});
    }
    const endpoint_choice choice = choose_endpoint(candidates, this->random);
    if (!choice.index) {
        if (choice.is_closed) {
            return {place_outcome::closed, nullptr};
        }
        return {choice.is_full ? place_outcome::full : place_outcome::no_endpoint, nullptr};
    }
    return {place_outcome::placed,
            std::make_unique<endpoint_place>(seen.endpoints->endpoints[*choice.index], this->board, this->peers)};
}

place_result place_queue::acquire(const place_request& request, caller_watchpoint& caller) {
    std::unique_lock lock{this->mutex};
    std::set<waiting_key>& line = this->waiting_by_service[request.service];
    const waiting_key own{request.importance, this->next_number++};
    line.insert(own);
    place_result placed;
    while (true) {
        if (*line.begin() == own) {
            placed = this->try_place(request);
            if (placed.outcome != place_outcome::full && placed.outcome != place_outcome::closed) {
                break;
            }
        }
        // A group that forms anew is back soon, and until then no other place can come free.
        const steady_time until = placed.outcome == place_outcome::closed ? request.until_open : request.until;
        if (this->time.now() >= until) {
            placed.outcome = placed.outcome == place_outcome::closed ? place_outcome::closed : place_outcome::full;
            break;
        }
        if (caller.is_disconnected()) {
            placed.outcome = place_outcome::caller_gone;
            break;
        }
        const steady_time next_look = this->time.now() + config::admission_poll_interval;
        this->freed.wait_until(lock, std::min(until, next_look));
    }
    line.erase(own);
    this->freed.notify_all();
    return placed;
}

void place_queue::wake() {
    this->freed.notify_all();
}

std::size_t place_queue::waiting() const {
    const std::lock_guard lock{this->mutex};
    std::size_t sum = 0;
    for (const auto& [service, line] : this->waiting_by_service) {
        sum += line.size();
    }
    return sum;
}

} // namespace pomelohoist
