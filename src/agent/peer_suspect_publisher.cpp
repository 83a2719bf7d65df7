#include "agent/peer_suspect_publisher.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

// A run takes 88 bytes: a digest of 64 digits with its length, and a ticket. 11 of them leave a third of a datagram for
// the header.
constexpr std::size_t runs_per_datagram = 11;

} // namespace

peer_suspect_publisher::peer_suspect_publisher(inner::datagram_endpoint& sender,
                                               const configuration_source& configurations, std::string endpoint_name)
    : calls(sender), source(configurations), own_name(std::move(endpoint_name)) {}

void peer_suspect_publisher::publish(const inner::suspect_report& report) {
    const std::vector<net_address> targets = agents_serving_same(*this->source.current(), this->own_name);
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

std::vector<net_address> agents_serving_same(const configuration& declared, const std::string& own_name) {
    const endpoint_handle own = declared.find_endpoint(own_name);
    std::vector<net_address> addresses;
    for (const endpoint& other : declared.endpoints()) {
        // An endpoint that is no longer declared does not know what it served, so all agents hear of its suspects.
        const bool serves_same =
            !own.is_valid() || (other.kind == declared.at(own).kind && other.serves == declared.at(own).serves);
        if (serves_same && other.name != own_name) {
            addresses.push_back(other.agent);
        }
    }
    return addresses;
}

std::vector<inner::suspect_report> split_report(const inner::suspect_report& report) {
    std::vector<inner::suspect_report> parts;
    for (std::size_t begin = 0; begin < report.runs.size(); begin += runs_per_datagram) {
        const std::size_t end = std::min(begin + runs_per_datagram, report.runs.size());
        parts.push_back({report.event_id,
                         report.agent_lost,
                         {report.runs.begin() + static_cast<std::ptrdiff_t>(begin),
                          report.runs.begin() + static_cast<std::ptrdiff_t>(end)}});
    }
    return parts;
}

} // namespace pomelohoist
