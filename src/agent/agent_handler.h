#pragma once

#include "agent/run_session.h"
#include "agent/suspect_list.h"
#include "inner/datagram_endpoint.h"
#include "inner/stream_server.h"

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <atomic>
#include <string>

/// Handles messages from entries, other agents and operators.
namespace pomelohoist {

/// Identity of this agent.
struct agent_identity {
    std::string name;
    std::string endpoint_name; ///< as declared
    std::string data_centre;
    std::string host; ///< as in the platform's host list

    friend bool operator==(const agent_identity&, const agent_identity&) = default;
};

class agent_handler : public inner::datagram_handler, public inner::stream_handler {
  public:
    /// @attention the components in `shared_parts`, the configurations and the suspects must outlive the handler
    agent_handler(const run_parts& shared_parts, agent_identity self, configuration_source& configurations,
                  suspect_list& known_suspects);

    inner::payload handle_datagram(const inner::packet& request) override;
    void handle_stream(const inner::packet& first, inner::frame_channel& channel) override;

    /// Refuses new reservations. Tickets that were already granted may still run.
    void begin_drain() { this->stopping = true; }

    [[nodiscard]] inner::status_response status();
    [[nodiscard]] std::size_t suspect_count() { return this->suspects.size(); }

  private:
    inner::reserve_response reserve(const inner::reserve_request& request);
    result<done> check_configuration(const inner::reserve_request& request);
    [[nodiscard]] result<done> check_access(const inner::reserve_request& request) const;
    inner::reserve_response make_offer(const inner::reserve_request& request);
    inner::reserve_response refuse(const inner::reserve_request& request, const failure& reason,
                                   std::chrono::milliseconds retry_after);
    inner::cancel_response cancel(const inner::cancel_request& request);
    inner::outcome_response outcome(const inner::outcome_request& request);
    inner::suspect_ack record_suspects(const inner::suspect_report& report);
    inner::payload serve_stream(const inner::packet& first);

    run_parts parts;
    agent_identity identity;
    configuration_source& source;
    suspect_list& suspects;
    std::atomic<bool> stopping{false};
};

} // namespace pomelohoist
