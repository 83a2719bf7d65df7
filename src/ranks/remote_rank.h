#pragma once

#include "inner/stream_server.h"
#include "ranks/rank_engine.h"
#include "ranks/rank_messages.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// Ranks on other hosts, and the server that makes a rank reachable from other hosts.
namespace pomelohoist {

/// Creates clients of engines.
class rank_engine_source {
  public:
    virtual ~rank_engine_source() = default;
    virtual std::unique_ptr<rank_engine> connect_engine(const net_address& engine) = 0;
};

/// Serves the coordinator's queries and commands to the local rank.
class rank_server : public inner::stream_handler {
  public:
    /// @param first_read number from which the reads of the counts are numbered; differs between runs of a process, so
    /// that no reader takes the counts of an earlier run as the base of a difference
    rank_server(rank_engine& local_rank, std::uint64_t first_read) : engine(local_rank), last_read(first_read) {}
    void handle_stream(const inner::packet& first, inner::frame_channel& channel) override;

  private:
    void answer_query(const inner::packet& first, inner::frame_channel& channel);
    void answer_command(const inner::packet& first, inner::frame_channel& channel);
    void add_counts(std::uint64_t requested_base, inner::rank_report& report);

    std::mutex mutex; ///< the engine's client handles one call at a time
    rank_engine& engine;
    std::uint64_t last_read;                ///< number of the last read of the counts
    std::vector<std::uint64_t> last_counts; ///< counts of that read
    std::uint64_t last_map_version{0};      ///< version of the last map that a coordinator sent, or 0
    std::vector<std::uint16_t> last_map;
};

/// A rank on another host, reached through that host's rank process. When the process does not respond, state reads
/// and commands go to the engine directly. Direct calls are more expensive, but a switch that has begun must be
/// completed.
class remote_rank : public rank_engine {
  public:
    remote_rank(std::string own_name, net_address process, const net_address& engine, rank_engine_source& source,
                const clock& time_source);

    result<rank_state> read_state() override;
    result<std::vector<std::uint64_t>> read_counts() override;
    result<rank_experts> read_experts() override;
    command_outcome send_command(const rank_command& command) override;

  private:
    /// @returns true while state reads and commands skip the rank process: for `config::rank_process_cooldown` after a
    /// failure
    [[nodiscard]] bool in_cooldown() const;
    rank_engine& engine();
    result<inner::rank_command_response> call_process(const rank_command& command);

    std::string name;
    net_address address;
    net_address engine_address;
    rank_engine_source& engines;
    const clock& time;
    std::unique_ptr<rank_engine> direct;
    std::optional<steady_time> failed_at; ///< last time at which the rank process did not respond
    // What the rank process has received or sent; the next messages contain the difference only.
    std::uint64_t counts_read{0};
    std::vector<std::uint64_t> counts;
    std::uint64_t map_version{0};
    std::vector<std::uint16_t> map;
};

} // namespace pomelohoist
