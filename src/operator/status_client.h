#pragma once

#include "inner/datagram_endpoint.h"
#include "inner/messages.h"

#include <chrono>
#include <vector>

/// Queries the status of processes.
namespace pomelohoist {

class status_client {
  public:
    virtual ~status_client() = default;
    /// Queries the targets concurrently.
    /// @returns one response for each target, in the order of `targets`
    virtual std::vector<result<inner::status_response>> query(const std::vector<net_address>& targets,
                                                              std::chrono::milliseconds timeout) = 0;
};

/// Sends `status_request` over UDP, in batches of targets. The timeout applies to each batch.
class datagram_status_client : public status_client {
  public:
    /// @param local_endpoint must be started
    explicit datagram_status_client(inner::datagram_endpoint& local_endpoint);
    std::vector<result<inner::status_response>> query(const std::vector<net_address>& targets,
                                                      std::chrono::milliseconds timeout) override;

  private:
    inner::datagram_endpoint& endpoint;
};

} // namespace pomelohoist
