#pragma once

#include "inner/codec.h"

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <string>

/// A TCP connection that carries packets as frames of a 4-byte big-endian length and a body.
namespace pomelohoist::inner {

class frame_channel {
  public:
    /// @param connected open connection
    /// @param process_name sent with each packet
    frame_channel(const Poco::Net::StreamSocket& connected, std::string process_name);

    /// Connects to another process.
    /// @returns the channel, or `unreachable`
    static result<frame_channel> connect(const net_address& target, const std::string& process_name,
                                         std::chrono::milliseconds timeout);

    /// Sends one message.
    /// @returns done, or `unreachable` when the connection is broken
    template <class Message> result<done> send(const Message& message) { return this->write(to_payload(message)); }
    result<done> write(const payload& content);

    /// Receives one packet.
    /// @returns the packet; `timeout` when no data arrived for this time, `unreachable` when the connection is
    /// broken, `payload_too_large` for a frame above `config::max_frame_bytes`, or `bad_request` for a malformed packet
    /// or another protocol version
    result<packet> receive(std::chrono::milliseconds timeout);

    /// @returns true when the peer has closed or broken the connection
    /// @attention must not be called while the peer may send: unread data hides that the connection is closed
    bool is_closed_by_peer();

    /// Shuts the connection down and thereby unblocks a thread that waits in `receive`.
    void abort();

  private:
    result<done> read_exactly(char* target, std::size_t length, std::chrono::milliseconds timeout);

    Poco::Net::StreamSocket socket;
    std::string name;
};

/// Opens a connection, sends one request and receives one response.
template <class Response, class Request>
result<Response> call_stream(const net_address& target, const std::string& process_name, const Request& request,
                             std::chrono::milliseconds timeout) {
    result<frame_channel> channel = frame_channel::connect(target, process_name, timeout);
    if (!channel) {
        return channel.last_error();
    }
    const result<done> sent = channel->send(request);
    if (!sent) {
        return sent.last_error();
    }
    const result<packet> response = channel->receive(timeout);
    if (!response) {
        return response.last_error();
    }
    return decode_body<Response>(*response);
}

} // namespace pomelohoist::inner
