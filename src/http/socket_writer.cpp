#include "http/socket_writer.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace pomelohoist {

namespace {

constexpr long long max_poll_ms = 60000;

} // namespace

bool socket_writer::write(std::string_view bytes, const write_limits& limits) {
    const int descriptor = this->socket.impl()->sockfd();
    steady_time last_progress = this->time.now();
    while (!bytes.empty()) {
        const auto count = ::send(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            last_progress = this->time.now();
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        const steady_time until = std::min(std::max(limits.deadline, last_progress + limits.longest_stall),
                                           limits.deadline + limits.extension);
        if ((errno != EAGAIN && errno != EWOULDBLOCK) || !this->wait_for_space(until)) {
            return false;
        }
    }
    return true;
}

bool socket_writer::wait_for_space(steady_time until) {
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(until - this->time.now()).count();
    if (remaining <= 0) {
        return false;
    }
    pollfd watched{this->socket.impl()->sockfd(), POLLOUT | POLLRDHUP, 0};
    const int ready = ::poll(&watched, 1, static_cast<int>(std::min<long long>(remaining, max_poll_ms)));
    // A peer that has closed its side while it does not read has left.
    return (ready >= 0 || errno == EINTR) && (watched.revents == 0 || (watched.revents & POLLOUT) != 0);
}

} // namespace pomelohoist
