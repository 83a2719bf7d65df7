#include "direct/caller_connection_monitor.h"

#include <Poco/Exception.h>

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace pomelohoist {

int caller_connection_monitor::descriptor() const {
    return this->socket.impl()->sockfd();
}

short caller_connection_monitor::events() const {
    return static_cast<short>(this->has_unread_input ? POLLRDHUP : POLLIN | POLLRDHUP);
}

bool caller_connection_monitor::is_disconnected() {
    char byte = 0;
    const auto count = ::recv(this->descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        this->has_unread_input = true;
        pollfd state{this->descriptor(), POLLRDHUP, 0};
        return ::poll(&state, 1, 0) > 0;
    }
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void caller_connection_monitor::abort() {
    try {
        // Linger 0 makes the close send a reset: after an orderly close the caller would take a truncated response
        // without a length for a complete one.
        this->socket.setLinger(true, 0);
        this->socket.close();
    } catch (const Poco::Exception&) {
        // The connection is already broken.
        return;
    }
}

} // namespace pomelohoist
