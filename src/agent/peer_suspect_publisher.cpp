#include "agent/peer_suspect_publisher.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

// A digest takes 64 digits and a length of 8 bytes; 12 of them leave a third of a datagram for the header.
constexpr std::size_t digests_per_datagram = 12;

} // namespace

peer_suspect_publisher::peer_suspect_publisher(inner::datagram_endpoint& sender,
                                               const configuration_source& configurations, std::string endpoint_name)
    : calls(sender), source(configurations), own_name(std::move(endpoint_name)) {}

void peer_suspect_publisher::publish(const inner::suspect_report& report) {
    const std::vector<net_address> targets = this->peers();
    std::vector<inner::datagram_call> reports;
    for (const inner::suspect_report& part : split_report(report)) {
        for (const net_address& target : targets) {
            reports.push_back({target, inner::to_payload(part)});
        }
    }
    if (!reports.empty()) {
        this->calls.call_all(reports, config::suspect_publish_timeout);
    }
}

std::vector<net_address> peer_suspect_publisher::peers() const {
    const configuration_ptr current = this->source.current();
    const endpoint_handle own = current->find_endpoint(this->own_name);
    std::vector<net_address> addresses;
    for (const endpoint& other : current->endpoints()) {
        // An endpoint that is no longer declared does not know what it served, so all agents hear of its suspects.
        const bool serves_same =
            !own.is_valid() || (other.kind == current->at(own).kind && other.serves == current->at(own).serves);
        if (serves_same && other.name != this->own_name) {
            addresses.push_back(other.agent);
        }
    }
    return addresses;
}

std::vector<inner::suspect_report> split_report(const inner::suspect_report& report) {
    std::vector<inner::suspect_report> parts;
    for (std::size_t begin = 0; begin < report.digests.size(); begin += digests_per_datagram) {
        const std::size_t end = std::min(begin + digests_per_datagram, report.digests.size());
        parts.push_back({report.event_id + "." + std::to_string(parts.size()),
                         {report.digests.begin() + static_cast<std::ptrdiff_t>(begin),
                          report.digests.begin() + static_cast<std::ptrdiff_t>(end)}});
    }
    return parts;
}

} // namespace pomelohoist
