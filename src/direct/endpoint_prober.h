#pragma once

#include <pomelohoist/types.h>

#include <chrono>
#include <cstdint>
#include <string_view>

/// Checks whether the process of an endpoint still runs.
namespace pomelohoist {

enum class endpoint_condition : std::uint8_t {
    listening,          ///< accepts connections
    connection_refused, ///< no process listens at the port
    no_response,        ///< the host may be down or unreachable
    count
};

/// @returns the name of the condition in logs and metrics
std::string_view name_of(endpoint_condition condition);

class endpoint_prober {
  public:
    virtual ~endpoint_prober() = default;
    virtual endpoint_condition probe(const net_address& endpoint) = 0;
};

/// Opens a TCP connection and closes it.
class tcp_endpoint_prober : public endpoint_prober {
  public:
    explicit tcp_endpoint_prober(std::chrono::milliseconds connect_timeout) : timeout(connect_timeout) {}
    endpoint_condition probe(const net_address& endpoint) override;

  private:
    std::chrono::milliseconds timeout;
};

} // namespace pomelohoist
