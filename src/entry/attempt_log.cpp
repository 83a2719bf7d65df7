#include "entry/attempt_log.h"

#include <algorithm>

namespace pomelohoist {

void attempt_log::record_reserved(const ticket& granted) {
    this->entries.push_back({granted, attempt_state::reserved});
}

void attempt_log::record_sent() {
    this->entries.back().state = attempt_state::sent;
}

void attempt_log::record_refused(const ticket& refused) {
    if (this->entries.back().granted == refused) {
        this->entries.back().state = attempt_state::refused;
    }
}

void attempt_log::record_ticket_state(inner::ticket_state state) {
    if (state == inner::ticket_state::not_started) {
        this->entries.back().state = attempt_state::voided;
    }
}

std::optional<not_run_proof> attempt_log::proof() const {
    const bool may_have_run =
        std::any_of(this->entries.begin(), this->entries.end(),
                    [](const attempt_record& recorded) { return recorded.state == attempt_state::sent; });
    if (may_have_run) {
        return std::nullopt;
    }
    return not_run_proof{};
}

} // namespace pomelohoist
