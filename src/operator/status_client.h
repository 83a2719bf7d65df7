#pragma once

#include "inner/datagram_endpoint.h"
#include "inner/messages.h"

#include <chrono>
#include <vector>

/// Asks processes for their status.
namespace pomelohoist {

class status_client {
  public:
    virtual ~status_client() = default;
    /// Asks all at once.
    /// @returns one reply for each target, in their order
    virtual std::vector<result<inner::status_response>> ask(const std::vector<net_address>& targets,
                                                            std::chrono::milliseconds timeout) = 0;
};

/// Asks by `status_request` over UDP.
class datagram_status_client : public status_client {
  public:
    /// @param caller must be started
    explicit datagram_status_client(inner::datagram_endpoint& caller);
    std::vector<result<inner::status_response>> ask(const std::vector<net_address>& targets,
                                                    std::chrono::milliseconds timeout) override;

  private:
    inner::datagram_endpoint& endpoint;
};

} // namespace pomelohoist
