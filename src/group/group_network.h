#pragma once

#include "inner/codec.h"

#include <pomelohoist/error.h>

#include <chrono>
#include <cstdint>
#include <vector>

/// Calls from one agent of a group to the others.
namespace pomelohoist {

class group_network {
  public:
    virtual ~group_network() = default;
    /// Calls all ranks but the own one at once by datagrams.
    /// @returns one result for each of them, ascending by rank
    virtual std::vector<result<inner::packet>> call_others(const inner::payload& content,
                                                           std::chrono::milliseconds timeout) = 0;
};

/// @returns the replies that came, in the order of the ranks
template <class Reply, class Request>
std::vector<Reply> ask_others(group_network& network, const Request& request, std::chrono::milliseconds timeout) {
    std::vector<Reply> replies;
    for (const result<inner::packet>& received : network.call_others(inner::to_payload(request), timeout)) {
        if (!received) {
            continue;
        }
        const result<Reply> reply = inner::decode_body<Reply>(*received);
        if (reply) {
            replies.push_back(*reply);
        }
    }
    return replies;
}

} // namespace pomelohoist
