#pragma once

#include "group/group_member.h"
#include "inner/stream_server.h"

#include <memory>
#include <mutex>
#include <thread>

/// The part of an agent that serves an endpoint with a group and a rank. It handles the messages of the group and
/// forwards all other messages to the agent's own handlers.
namespace pomelohoist {

class group_agent : public inner::datagram_handler, public inner::stream_handler, public rank_service {
  public:
    /// Binds the address for the rank and waits in a background thread for the declaration of the endpoint.
    /// @param incarnation of the agent's process
    /// @attention throws Poco::Net::NetException when the address cannot be bound; the handlers must outlive the
    /// group_agent
    group_agent(const group_settings& options, std::string endpoint, std::uint64_t incarnation,
                const member_parts& used_parts, inner::datagram_handler& next_datagrams,
                inner::stream_handler& next_streams);
    ~group_agent() override;
    group_agent(const group_agent&) = delete;
    group_agent& operator=(const group_agent&) = delete;

    [[nodiscard]] net_address step_address() const { return this->server->local_address(); }

    inner::payload handle_datagram(const inner::packet& request) override;
    void handle_stream(const inner::packet& first, inner::frame_channel& channel) override;
    step_response serve_step(const step_call& call) override;
    std::vector<std::uint32_t> find_map(const map_id& id) override;
    bool add_map(std::uint64_t version, const std::vector<std::uint32_t>& slots) override;

  private:
    void join_loop();
    bool try_join();
    [[nodiscard]] std::shared_ptr<group_member> member();

    group_settings settings;
    std::string endpoint_name;
    std::uint64_t own_incarnation;
    member_parts parts;
    inner::datagram_handler& datagrams;
    inner::stream_handler& streams;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping{false};
    std::shared_ptr<group_member> joined;
    std::unique_ptr<step_server> server;
    std::thread join_thread;
};

} // namespace pomelohoist
