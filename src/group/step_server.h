#pragma once

#include "group/switch_participant.h"
#include "http/http_listener.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <optional>
#include <string>

/// HTTP interface on the loopback address for the local rank of the agent:
///   POST /step {"step", "is_ready", "last": {"map_version", "map_digest", "from_step", "time_ms", "tokens"}}
///     200 {"map_version", "map_digest", "from_step", "needs_map"}, or 409 {"wait": true, "needs_map"}
///   GET /map?version=V&digest=D
///     200 {"version", "slots"}, or 404
///   POST /map {"version", "slots"}, after a response with "needs_map": the map that the rank runs
///     200, or 400 when the map does not fit the group
/// Digests are strings, because JSON numbers lose the low bits of 64-bit integers.
namespace pomelohoist {

/// Step request and measurements of a rank in one call.
struct step_call {
    step_request request;
    bool is_ready{true}; ///< true: all ranks have started the previous step; false: the call does not ask for a grant
    double time_ms{0};   ///< duration of the previous step
    std::vector<double> tokens; ///< number processed by each expert slot in the previous step, in the order layer, slot
};

struct step_response {
    std::optional<map_start> granted; ///< empty: the rank has to wait
    /// true: the agent lacks the content of the map that the rank runs, for example after a restart
    bool needs_map{false};
};

/// Handles the calls of a rank.
/// @attention called by several threads
class rank_service {
  public:
    virtual ~rank_service() = default;
    virtual step_response serve_step(const step_call& call) = 0;
    /// @returns the slots in the order layer, rank, slot; empty when the agent does not have the map
    virtual std::vector<std::uint32_t> find_map(const map_id& id) = 0;
    /// Adds the content of the map that the rank runs.
    /// @returns false when the map does not fit the group
    virtual bool add_map(std::uint64_t version, const std::vector<std::uint32_t>& slots) = 0;
};

class step_server {
  public:
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    step_server(const net_address& local, rank_service& served);
    ~step_server() = default;
    step_server(const step_server&) = delete;
    step_server& operator=(const step_server&) = delete;

    [[nodiscard]] net_address local_address() const { return this->bound; }

  private:
    Poco::Net::ServerSocket socket;
    net_address bound;
    system_clock time;
    std::unique_ptr<exchange_handler> handler;
    http_listener listener;
};

} // namespace pomelohoist
