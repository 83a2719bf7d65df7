#include "inner/frame_channel.h"

#include <pomelohoist/config.h>

#include <Poco/ByteOrder.h>
#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <cstring>
#include <utility>

namespace pomelohoist::inner {

namespace {

constexpr std::size_t length_bytes = sizeof(std::uint32_t);
constexpr long long microseconds_per_millisecond = 1000;
constexpr std::chrono::milliseconds send_timeout{10000};

Poco::Timespan to_poco(std::chrono::milliseconds duration) {
    return Poco::Timespan{duration.count() * microseconds_per_millisecond};
}

} // namespace

frame_channel::frame_channel(const Poco::Net::StreamSocket& connected, std::string process_name)
    : socket(connected), name(std::move(process_name)) {
    this->socket.setNoDelay(true);
    // A paused peer that reads nothing must not block the sending thread, and thereby a slot, for ever.
    this->socket.setSendTimeout(to_poco(send_timeout));
}

result<frame_channel> frame_channel::connect(const net_address& target, const std::string& process_name,
                                             std::chrono::milliseconds timeout) {
    try {
        Poco::Net::StreamSocket connected;
        connected.connect(Poco::Net::SocketAddress{target.ip, target.port}, to_poco(timeout));
        return frame_channel{connected, process_name};
    } catch (const Poco::Exception& error) {
        return failure{error_kind::unreachable, target.to_string() + ": " + error.displayText()};
    }
}

result<done> frame_channel::write(const payload& content) {
    const std::string body = encode(packet{config::protocol_version, content.type, 0, false, this->name, content.body});
    const std::uint32_t length = Poco::ByteOrder::toBigEndian(static_cast<std::uint32_t>(body.size()));
    std::string frame(length_bytes, '\0');
    std::memcpy(frame.data(), &length, length_bytes);
    frame += body;
    try {
        std::size_t written = 0;
        while (written < frame.size()) {
            const int count = this->socket.sendBytes(frame.data() + written, static_cast<int>(frame.size() - written));
            if (count <= 0) {
                return failure{error_kind::unreachable, "connection closed while sending"};
            }
            written += static_cast<std::size_t>(count);
        }
    } catch (const Poco::Exception& error) {
        return failure{error_kind::unreachable, error.displayText()};
    }
    return done{};
}

result<packet> frame_channel::receive(std::chrono::milliseconds timeout) {
    std::uint32_t length = 0;
    const result<done> head = this->read_exactly(reinterpret_cast<char*>(&length), length_bytes, timeout);
    if (!head) {
        return head.last_error();
    }
    length = Poco::ByteOrder::fromBigEndian(length);
    if (length > config::max_frame_bytes) {
        return failure{error_kind::payload_too_large, "frame of " + std::to_string(length) + " bytes"};
    }
    std::string body(length, '\0');
    const result<done> rest = this->read_exactly(body.data(), body.size(), timeout);
    if (!rest) {
        return rest.last_error();
    }
    result<packet> received = decode<packet>(body);
    if (received && received->protocol_version != config::protocol_version) {
        return failure{error_kind::bad_request, "unsupported protocol version"};
    }
    return received;
}

bool frame_channel::is_closed_by_peer() {
    try {
        if (!this->socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ)) {
            return false;
        }
        return this->socket.available() == 0;
    } catch (const Poco::Exception&) {
        return true;
    }
}

void frame_channel::abort() {
    try {
        this->socket.shutdown();
    } catch (const Poco::Exception&) {
        // The peer has already closed the connection.
        return;
    }
}

result<done> frame_channel::read_exactly(char* target, std::size_t length, std::chrono::milliseconds timeout) {
    try {
        this->socket.setReceiveTimeout(to_poco(timeout));
        std::size_t filled = 0;
        while (filled < length) {
            const int count = this->socket.receiveBytes(target + filled, static_cast<int>(length - filled));
            if (count <= 0) {
                return failure{error_kind::unreachable, "connection closed by peer"};
            }
            filled += static_cast<std::size_t>(count);
        }
    } catch (const Poco::TimeoutException&) {
        return failure{error_kind::timeout, "no frame in time"};
    } catch (const Poco::Exception& error) {
        return failure{error_kind::unreachable, error.displayText()};
    }
    return done{};
}

} // namespace pomelohoist::inner
