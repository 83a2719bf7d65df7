#include "support/raw_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>

namespace pomelohoist::test_support {

std::string exchange_raw(const net_address& target, const std::string& bytes) {
    constexpr long timeout_s = 20;
    std::string received;
    try {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress{target.ip, target.port}};
        socket.setReceiveTimeout(Poco::Timespan{timeout_s, 0});
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            sent +=
                static_cast<std::size_t>(socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
        std::array<char, 4096> buffer{};
        for (int count = 1; count > 0;) {
            count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            received.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
        }
    } catch (const Poco::Exception&) {
        // The server has reset the connection; what it has sent before is returned.
        return received;
    }
    return received;
}

std::vector<std::string> head_lines(const std::string& bytes) {
    std::vector<std::string> lines;
    std::size_t begin = 0;
    for (std::size_t end = bytes.find("\r\n"); end != std::string::npos && end > begin;
         end = bytes.find("\r\n", begin)) {
        lines.push_back(bytes.substr(begin, end - begin));
        begin = end + 2;
    }
    return lines;
}

bool has_line(const std::string& bytes, const std::string& line) {
    const std::vector<std::string> lines = head_lines(bytes);
    return std::find(lines.begin(), lines.end(), line) != lines.end();
}

} // namespace pomelohoist::test_support
