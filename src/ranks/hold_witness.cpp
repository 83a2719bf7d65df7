#include "ranks/hold_witness.h"

#include <algorithm>

namespace pomelohoist {

void hold_witness::note(const rank_order& order) {
    const std::lock_guard lock{this->mutex};
    if (order.kind == rank_order_kind::hold) {
        this->hold = epoch_step{order.epoch, order.step};
    }
    if (order.kind == rank_order_kind::arm) {
        const bool is_same_epoch = this->armed && this->armed->epoch == order.epoch;
        this->armed = epoch_step{order.epoch, is_same_epoch ? std::max(this->armed->step, order.step) : order.step};
    }
}

void hold_witness::abandon(std::uint64_t epoch, std::uint64_t step) {
    const std::lock_guard lock{this->mutex};
    this->abandoned = epoch_step{epoch, step};
}

bool hold_witness::refuses(const rank_order& order) const {
    const std::lock_guard lock{this->mutex};
    return order.kind == rank_order_kind::arm && this->abandoned && this->abandoned->epoch == order.epoch &&
           order.step <= this->abandoned->step;
}

bool hold_witness::is_unarmed(const rank_state& own) const {
    const std::lock_guard lock{this->mutex};
    if (!own.held_step || own.armed || !this->hold) {
        return false;
    }
    const bool saw_hold = this->hold->epoch == own.epoch && this->hold->step == *own.held_step;
    const bool saw_arm = this->armed && (this->armed->epoch != own.epoch || this->armed->step >= *own.held_step);
    return saw_hold && !saw_arm;
}

} // namespace pomelohoist
