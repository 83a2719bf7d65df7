#pragma once

#include "inner/stream_server.h"
#include "ranks/rank_engine.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// Ranks that are reached through the processes beside them.
namespace pomelohoist {

/// Makes a client of an engine.
class rank_engine_source {
  public:
    virtual ~rank_engine_source() = default;
    virtual std::unique_ptr<rank_engine> connect_engine(const net_address& engine) = 0;
};

/// Serves the rank beside this process to the coordinator.
class rank_server : public inner::stream_handler {
  public:
    explicit rank_server(rank_engine& beside) : engine(beside) {}
    void handle_stream(const inner::packet& first, inner::frame_channel& channel) override;

  private:
    std::mutex mutex; ///< the engine's client takes one call at a time
    rank_engine& engine;
};

/// A rank of another host. Where the process beside it does not answer, the engine is called directly: that is dearer,
/// but a switch that has begun must be completed.
class remote_rank : public rank_engine {
  public:
    remote_rank(std::string own_name, net_address process, const net_address& engine, rank_engine_source& source,
                const clock& time_source);

    result<rank_state> read_state() override;
    result<std::vector<std::uint64_t>> read_counts() override;
    result<rank_experts> read_experts() override;
    command_outcome send_command(const rank_command& order) override;

  private:
    /// @returns true while the process beside the rank is passed over
    [[nodiscard]] bool is_passed_over() const;
    rank_engine& engine();

    std::string name;
    net_address address;
    net_address engine_address;
    rank_engine_source& engines;
    const clock& time;
    std::unique_ptr<rank_engine> direct;
    std::optional<steady_time> failed_at; ///< when the process beside the rank did not answer
};

} // namespace pomelohoist
