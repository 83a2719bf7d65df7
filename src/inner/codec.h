#pragma once

#include "inner/messages.h"

#include <pomelohoist/config.h>
#include <pomelohoist/error.h>

#include <cereal/archives/portable_binary.hpp>

#include <exception>
#include <sstream>
#include <string>

/// Serialization of messages by cereal's portable binary archive.
namespace pomelohoist::inner {

/// @returns the serialized message
template <class Message> std::string encode(const Message& message) {
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive{stream};
        archive(message);
    }
    return std::move(stream).str();
}

/// @returns the message, or `bad_request` when the bytes are malformed
template <class Message> result<Message> decode(const std::string& bytes) {
    try {
        std::istringstream stream{bytes};
        cereal::PortableBinaryInputArchive archive{stream};
        Message message;
        archive(message);
        return message;
    } catch (const std::exception& error) {
        return failure{error_kind::bad_request, std::string{"malformed message: "} + error.what()};
    }
}

/// Decodes the body of a packet of the expected type.
/// @returns the message, `bad_request`, or the failure that a `failure_response` carries
template <class Message> result<Message> decode_body(const packet& received) {
    if (received.type == message_type::failure_response) {
        const result<failure_response> response = decode<failure_response>(received.body);
        if (!response) {
            return response.last_error();
        }
        return failure{response->kind, response->reason};
    }
    if (received.type != Message::type) {
        return failure{error_kind::bad_request, "unexpected message type"};
    }
    return decode<Message>(received.body);
}

/// Type and body of a packet, without call number and sender.
struct payload {
    message_type type{message_type::failure_response};
    std::string body;

    friend bool operator==(const payload&, const payload&) = default;
};

/// @returns the message as the content of a packet
template <class Message> payload to_payload(const Message& message) {
    return {Message::type, encode(message)};
}

} // namespace pomelohoist::inner
