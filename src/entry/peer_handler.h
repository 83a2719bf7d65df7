#pragma once

#include "entry/service_gate.h"
#include "inner/datagram_endpoint.h"
#include "inner/stream_server.h"
#include "spread/configuration_source.h"

#include <string>

namespace pomelohoist {

/// Serves requests of other processes to an entry: configuration and status.
class peer_handler : public inner::datagram_handler, public inner::stream_handler {
  public:
    peer_handler(std::string process_name, std::string process_data_centre, configuration_source& source,
                 const service_gate& admission);

    inner::payload handle_datagram(const inner::packet& request) override;
    void handle_stream(const inner::packet& first, inner::frame_channel& channel) override;

  private:
    [[nodiscard]] inner::status_response status() const;

    std::string name;
    std::string data_centre;
    configuration_source& configurations;
    const service_gate& gate;
};

} // namespace pomelohoist
