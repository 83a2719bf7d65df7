#include "entry/peer_handler.h"

#include <utility>

namespace pomelohoist {

namespace {

inner::payload not_served() {
    return inner::to_payload(inner::failure_response{error_kind::not_found, "an entry does not serve this message"});
}

inner::payload refused(const failure& reason) {
    return inner::to_payload(inner::failure_response{reason.kind, reason.reason});
}

} // namespace

peer_handler::peer_handler(std::string process_name, std::string process_data_centre, configuration_source& source,
                           const service_gate& admission)
    : name(std::move(process_name)), data_centre(std::move(process_data_centre)), configurations(source),
      gate(admission) {}

inner::payload peer_handler::handle_datagram(const inner::packet& request) {
    if (request.type == inner::message_type::announce) {
        const auto received = inner::decode_body<inner::announce>(request);
        return received ? inner::to_payload(this->configurations.handle_announce(*received))
                        : refused(received.last_error());
    }
    if (request.type == inner::message_type::status_request) {
        return inner::to_payload(this->status());
    }
    return not_served();
}

void peer_handler::handle_stream(const inner::packet& first, inner::frame_channel& channel) {
    if (first.type != inner::message_type::pull_request) {
        channel.write(not_served());
        return;
    }
    const auto received = inner::decode_body<inner::pull_request>(first);
    channel.write(received ? inner::to_payload(this->configurations.handle_pull(*received))
                           : refused(received.last_error()));
}

inner::status_response peer_handler::status() const {
    const configuration_ptr declared = this->configurations.current();
    inner::status_response response;
    response.name = this->name;
    response.role = "entry";
    response.data_centre = this->data_centre;
    response.configuration_version = declared ? declared->version() : 0;
    response.host_list_version = this->configurations.host_list_version();
    response.running = this->gate.active();
    response.draining = this->gate.is_closed();
    response.healthy = response.configuration_version != 0;
    return response;
}

} // namespace pomelohoist
