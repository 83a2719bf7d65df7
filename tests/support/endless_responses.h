#pragma once

#include "support/scripted_endpoint.h"

#include <chrono>
#include <string>
#include <vector>

/// Responses that never end, for every part of a response that a peer may send without end.
namespace pomelohoist::test_support {

struct endless_response {
    std::string name;
    scripted_response response;
};

/// @returns responses that are sent as fast as the peer reads
inline std::vector<endless_response> endless_responses() {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const auto endless = [](const std::string& begin, const std::string& pattern) {
        scripted_response response{begin};
        while (response.endless.size() < 65536) {
            response.endless += pattern;
        }
        response.send_buffer_bytes = 65536; // so that nearly all bytes that are sent are at the receiving end
        return response;
    };
    return {{"status line", endless("HTTP/1.1 200 ", "a")},
            {"no line", endless("", "#")},
            {"one field", endless(ok + "A: ", "a")},
            {"field name", endless(ok, "a")},
            {"fields", endless(ok, "A: b\r\n")},
            {"folded field", endless(ok + "A: b\r\n", " c\r\n")},
            {"interim heads", endless("", "HTTP/1.1 100 Continue\r\n\r\n")},
            {"body without a length", endless(ok + "\r\n", "#")},
            {"body of a huge length", endless(ok + "Content-Length: 99999999999\r\n\r\n", "#")},
            {"nested arrays", endless(ok + "\r\n", "[")},
            {"chunks", endless(chunked, "4\r\nabcd\r\n")},
            {"one chunk", endless(chunked + "fffffffff\r\n", "#")},
            {"chunk size", endless(chunked, "0")},
            {"chunk extension", endless(chunked + "4;", "e")},
            {"chunk extensions", endless(chunked, "1;" + std::string(4000, 'e') + "\r\na\r\n")},
            {"end of a chunk", endless(chunked + "1\r\na", "b")},
            {"trailer field", endless(chunked + "0\r\nA: ", "a")},
            {"trailers", endless(chunked + "0\r\n", "A: b\r\n")}};
}

/// @returns the same with one byte at a time, which no limit of a wait for bytes ends
inline std::vector<endless_response> slow_responses(std::chrono::milliseconds interval) {
    std::vector<endless_response> slow = endless_responses();
    for (endless_response& each : slow) {
        each.response.endless = each.response.endless.substr(0, 1);
        each.response.endless_interval = interval;
    }
    return slow;
}

} // namespace pomelohoist::test_support
