#pragma once

#include "inner/stream_server.h"
#include "ranks/rank_engine.h"

#include <pomelohoist/types.h>

#include <memory>
#include <mutex>
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
    remote_rank(std::string own_name, net_address process, const net_address& engine, rank_engine_source& source);

    result<rank_state> read_state() override;
    result<std::vector<std::uint64_t>> read_counts() override;
    result<rank_experts> read_experts() override;
    order_outcome give(const rank_order& order) override;

  private:
    std::string name;
    net_address address;
    net_address engine_address;
    rank_engine_source& engines;
    std::unique_ptr<rank_engine> direct;
};

} // namespace pomelohoist
