#pragma once

#include "common/random_source.h"
#include "direct/caller_watchpoint.h"
#include "direct/endpoint_avoidance.h"
#include "direct/endpoint_choice.h"
#include "direct/load_tracker.h"
#include "direct/peer_link.h"
#include "direct/routing_state.h"

#include <pomelohoist/clock.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Places requests at endpoints; requests that find all places taken wait here, by importance and age.
namespace pomelohoist {

/// A place at an endpoint, held until the request has ended there.
class endpoint_place {
  public:
    endpoint_place(endpoint_record chosen, load_tracker& loads, peer_link& link);
    ~endpoint_place();
    endpoint_place(const endpoint_place&) = delete;
    endpoint_place& operator=(const endpoint_place&) = delete;

    const endpoint_record endpoint;
    const endpoint_digest digest;

  private:
    load_tracker& board;
    peer_link& peers;
};

/// What a request asks for.
struct place_request {
    std::string service;
    bool is_stream{false};
    std::uint32_t importance{0};    ///< 0 is the most important
    std::vector<std::string> tried; ///< instances that this request was sent to before
    steady_time until;              ///< longest wait for a place
    steady_time until_open;         ///< longest wait while no endpoint of the service serves

    friend bool operator==(const place_request&, const place_request&) = default;
};

/// How placing a request ended.
enum class place_outcome : std::uint8_t {
    placed,
    full,        ///< no place came free in time, or too many wait already
    closed,      ///< the groups of all endpoints form anew, and did not open in time
    no_endpoint, ///< no endpoint of the service is known, or all were tried
    caller_gone,
    count
};

struct place_result {
    place_outcome outcome{place_outcome::no_endpoint};
    std::unique_ptr<endpoint_place> place; ///< with `placed`
};

/// Answers overload: what waits here is served by importance, then in the order of arrival, and a request that would
/// have to wait too long is refused at once. Safe for several threads.
class place_queue {
  public:
    place_queue(routing_state& in_force, load_tracker& loads, peer_link& link, endpoint_avoidance& avoided,
                random_source& randomness, const clock& time_source);

    place_result acquire(const place_request& request, caller_watchpoint& caller);
    /// Lets the waiting requests look again.
    void wake();
    [[nodiscard]] std::size_t waiting() const;

  private:
    struct waiting_key {
        std::uint32_t importance{0};
        std::uint64_t number{0};
        // NOLINTNEXTLINE(modernize-use-nullptr): the 0 that `<` is rewritten to is taken for a null pointer
        friend auto operator<=>(const waiting_key&, const waiting_key&) = default;
    };

    place_result try_place(const place_request& request);

    routing_state& shared;
    load_tracker& board;
    peer_link& peers;
    endpoint_avoidance& avoidance;
    random_source& random;
    const clock& time;
    mutable std::mutex mutex;
    std::condition_variable freed;
    std::map<std::string, std::set<waiting_key>> waiting_by_service;
    std::uint64_t next_number{0};
};

} // namespace pomelohoist
