#pragma once

#include "inner/codec.h"

#include <pomelohoist/error.h>

#include <chrono>
#include <cstdint>
#include <vector>

/// Calls from one agent of a group to the other agents.
namespace pomelohoist {

class group_network {
  public:
    virtual ~group_network() = default;
    /// Sends a datagram request to all other ranks, concurrently.
    /// @returns one result for each of these ranks, in the order of the ranks
    virtual std::vector<result<inner::packet>> call_others(const inner::payload& content,
                                                           std::chrono::milliseconds timeout) = 0;
};

/// Sends the request to all other ranks.
/// @returns the valid responses, in the order of the ranks
template <class Response, class Request>
std::vector<Response> query_others(group_network& network, const Request& request, std::chrono::milliseconds timeout) {
    std::vector<Response> responses;
    for (const result<inner::packet>& received : network.call_others(inner::to_payload(request), timeout)) {
        if (!received) {
            continue;
        }
        const result<Response> response = inner::decode_body<Response>(*received);
        if (response) {
            responses.push_back(*response);
        }
    }
    return responses;
}

} // namespace pomelohoist
