#pragma once

#include "group/switch_participant.h"

#include <pomelohoist/types.h>

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <optional>
#include <string>

/// HTTP on the loopback for the rank beside the agent:
///   POST /step {"step", "is_ready", "last": {"map_version", "map_digest", "from_step", "time_ms", "tokens"}}
///     200 {"map_version", "map_digest", "from_step", "needs_map"}, or 409 {"wait": true, "needs_map"}
///   GET /map?version=V&digest=D
///     200 {"version", "slots"}, or 404
///   POST /map {"version", "slots"}, after an answer with "needs_map": the map that the rank runs
///     200, or 400 when it is no map of the group
/// Digests are strings, because JSON numbers lose bits.
namespace pomelohoist {

/// What a rank asks and reports in one call.
struct rank_call {
    step_request request;
    bool is_ready{true};        ///< all ranks have started the step before; otherwise the call only reports
    double time_ms{0};          ///< of the step before
    std::vector<double> tokens; ///< that each expert slot of the rank processed in it, in the order layer, slot
};

struct rank_answer {
    std::optional<map_start> granted; ///< nothing: the rank waits
    bool needs_map{false};            ///< a restarted agent lacks the content of the map that the rank runs
};

/// Serves a rank.
/// @attention is called by several threads
class rank_service {
  public:
    virtual ~rank_service() = default;
    virtual rank_answer serve_step(const rank_call& call) = 0;
    /// @returns the slots in the order layer, rank, slot; empty when the map is not here
    virtual std::vector<std::uint32_t> find_map(const map_id& wanted) = 0;
    /// Takes the content of the map that the rank runs.
    /// @returns false when it is no map of the group
    virtual bool take_map(std::uint64_t version, const std::vector<std::uint32_t>& slots) = 0;
};

class step_server {
  public:
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    step_server(const net_address& local, rank_service& served);
    ~step_server();
    step_server(const step_server&) = delete;
    step_server& operator=(const step_server&) = delete;

    [[nodiscard]] net_address local_address() const { return this->bound; }

  private:
    Poco::Net::ServerSocket socket;
    net_address bound;
    Poco::ThreadPool pool;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

} // namespace pomelohoist
