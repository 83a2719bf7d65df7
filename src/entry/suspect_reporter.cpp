#include "entry/suspect_reporter.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <string>
#include <unordered_set>
#include <vector>

namespace pomelohoist {

std::size_t suspect_reporter::report(const entry_request& request, const ticket& lost, const configuration& declared) {
    // The event id names the incarnation, because an incarnation is lost only once, however many of its runs are
    // reported.
    const std::string event_id = "agent:" + std::to_string(lost.incarnation);
    const inner::payload content = inner::to_payload(inner::suspect_report{event_id, true, {{request.digest, lost}}});
    std::unordered_set<std::string> agents;
    std::vector<inner::datagram_call> reports;
    reports.reserve(declared.endpoints().size());
    for (const endpoint& declared_endpoint : declared.endpoints()) {
        const bool may_run = declared_endpoint.kind == request.kind && declared_endpoint.serves == request.serves;
        if (may_run && agents.insert(declared_endpoint.agent.to_string()).second) {
            reports.push_back({declared_endpoint.agent, content});
        }
    }
    const auto responses = this->calls.call_all(reports, config::suspect_publish_timeout);
    return static_cast<std::size_t>(std::count_if(responses.begin(), responses.end(), [](const auto& response) {
        return response && inner::decode_body<inner::suspect_ack>(*response).has_value();
    }));
}

} // namespace pomelohoist
