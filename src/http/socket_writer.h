#pragma once

#include <pomelohoist/clock.h>

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <string_view>

/// Writes to a peer that may not read.
namespace pomelohoist {

/// How long a message may take to write.
struct write_limits {
    steady_time deadline;
    std::chrono::milliseconds longest_stall; ///< without any progress, once the deadline is over
    std::chrono::milliseconds extension;     ///< beyond the deadline, for a peer that makes progress

    friend bool operator==(const write_limits&, const write_limits&) = default;
};

/// @attention used by one thread
class socket_writer {
  public:
    socket_writer(const Poco::Net::StreamSocket& connected, const clock& time_source)
        : socket(connected), time(time_source) {}

    /// Waits until the kernel has taken all bytes.
    /// @returns false when the connection is lost, the peer has closed it, or a limit is exceeded
    bool write(std::string_view bytes, const write_limits& limits);

  private:
    /// @returns false when the wait is to end
    bool wait_for_space(steady_time until);

    Poco::Net::StreamSocket socket;
    const clock& time;
};

} // namespace pomelohoist
