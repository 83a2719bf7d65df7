#include "direct/caller_watchpoint.h"

#include <Poco/Exception.h>

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace pomelohoist {

int caller_watchpoint::descriptor() const {
    return this->socket.impl()->sockfd();
}

short caller_watchpoint::events() const {
    return static_cast<short>(this->has_sent_more ? POLLRDHUP : POLLIN | POLLRDHUP);
}

bool caller_watchpoint::is_disconnected() {
    char byte = 0;
    const auto count = ::recv(this->descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        this->has_sent_more = true;
        pollfd state{this->descriptor(), POLLRDHUP, 0};
        return ::poll(&state, 1, 0) > 0;
    }
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void caller_watchpoint::abort() {
    try {
        // A reset, not an orderly end: an answer without a length would look complete after the latter.
        this->socket.setLinger(true, 0);
        this->socket.close();
    } catch (const Poco::Exception&) {
        // The connection is broken already.
        return;
    }
}

} // namespace pomelohoist
