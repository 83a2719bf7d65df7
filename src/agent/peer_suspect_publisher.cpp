#include "agent/peer_suspect_publisher.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

// An encoded run has 88 bytes: a digest of 64 digits with its length, and a ticket. 11 runs leave a third of a datagram
// for the header.
constexpr std::size_t runs_per_datagram = 11;

} // namespace

peer_suspect_publisher::peer_suspect_publisher(inner::datagram_endpoint& datagram_sender,
                                               const configuration_source& configurations, std::string endpoint_name)
    : sender(datagram_sender), source(configurations), own_name(std::move(endpoint_name)) {}

void peer_suspect_publisher::publish(const inner::suspect_report& report) {
    const std::vector<net_address> targets = agents_of_same_service(*this->source.current(), this->own_name);
    std::vector<inner::datagram_call> reports;
    for (const inner::suspect_report& part : split_report(report)) {
        for (const net_address& target : targets) {
            reports.push_back({target, inner::to_payload(part)});
        }
    }
    if (!reports.empty()) {
        this->sender.call_all(reports, config::suspect_publish_timeout);
    }
}

std::vector<net_address> agents_of_same_service(const configuration& declared, const std::string& own_name) {
    const endpoint_handle own_endpoint = declared.find_endpoint(own_name);
    std::vector<net_address> addresses;
    for (const endpoint& candidate : declared.endpoints()) {
        // The model or service of an undeclared endpoint is unknown, so its suspects are sent to all agents.
        const bool serves_same = !own_endpoint.is_valid() || (candidate.kind == declared.at(own_endpoint).kind &&
                                                              candidate.serves == declared.at(own_endpoint).serves);
        if (serves_same && candidate.name != own_name) {
            addresses.push_back(candidate.agent);
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
