#include "direct/buffer_budget.h"

#include <pomelohoist/config.h>

namespace pomelohoist {

bool buffer_budget::reserve(std::size_t bytes) {
    const std::lock_guard lock{this->mutex};
    if (bytes > this->limit - this->reserved) {
        return false;
    }
    this->reserved += bytes;
    return true;
}

void buffer_budget::release(std::size_t bytes) {
    const std::lock_guard lock{this->mutex};
    this->reserved -= bytes;
}

buffer_reservation::~buffer_reservation() {
    this->budget.release(this->reserved);
}

bool buffer_reservation::grow_to(std::size_t buffer_bytes) {
    if (buffer_bytes > config::max_response_bytes) {
        return false;
    }
    if (buffer_bytes <= config::unreserved_response_bytes + this->reserved) {
        return true;
    }
    const std::size_t missing = buffer_bytes - config::unreserved_response_bytes - this->reserved;
    if (!this->budget.reserve(missing)) {
        return false;
    }
    this->reserved += missing;
    return true;
}

} // namespace pomelohoist
