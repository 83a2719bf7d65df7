#include "operator/status_client.h"

#include <algorithm>

namespace pomelohoist {

namespace {

// Limits the responses that arrive at once to what the socket's receive buffer holds.
constexpr std::size_t max_calls_at_once = 256;

} // namespace

datagram_status_client::datagram_status_client(inner::datagram_endpoint& local_endpoint) : endpoint(local_endpoint) {}

std::vector<result<inner::status_response>> datagram_status_client::query(const std::vector<net_address>& targets,
                                                                          std::chrono::milliseconds timeout) {
    std::vector<result<inner::status_response>> responses;
    responses.reserve(targets.size());
    for (std::size_t begin = 0; begin < targets.size(); begin += max_calls_at_once) {
        const std::size_t end = std::min(begin + max_calls_at_once, targets.size());
        std::vector<inner::datagram_call> calls;
        calls.reserve(end - begin);
        for (std::size_t i = begin; i < end; ++i) {
            calls.push_back({targets[i], inner::to_payload(inner::status_request{})});
        }
        for (const result<inner::packet>& response : this->endpoint.call_all(calls, timeout)) {
            if (response) {
                responses.push_back(inner::decode_body<inner::status_response>(*response));
            } else {
                responses.emplace_back(response.last_error());
            }
        }
    }
    return responses;
}

} // namespace pomelohoist
