#include "agent/ticket_table.h"

#include <utility>

namespace pomelohoist {

using inner::ticket_state;

ticket_table::ticket_table(const clock& time_source, std::uint64_t process_incarnation, std::size_t max_remembered)
    : time(time_source), own_incarnation(process_incarnation), limit(max_remembered) {}

result<ticket> ticket_table::issue(const std::string& digest) {
    const std::lock_guard lock{this->mutex};
    this->expire();
    if (this->open >= this->limit) {
        return failure{error_kind::overloaded, "too many open tickets"};
    }
    // Numbers are never reused, so a late message cannot match the ticket of another request.
    const std::uint64_t number = ++this->last_number;
    this->records.emplace(number, record{digest, phase::issued});
    this->deadlines.push_back({number, this->time.now() + config::ticket_lifetime});
    ++this->issued;
    ++this->open;
    return ticket{this->own_incarnation, number};
}

result<done> ticket_table::present(const ticket& target, const std::string& digest) {
    const std::lock_guard lock{this->mutex};
    this->expire();
    if (target.incarnation != this->own_incarnation) {
        return failure{error_kind::ticket_refused, "ticket of another incarnation of the agent"};
    }
    record* stored = this->find(target);
    if (stored == nullptr) {
        // An earlier message may have run an evicted ticket, so the refusal does not claim "not run".
        const bool was_issued = target.number != 0 && target.number <= this->last_number;
        return failure{was_issued ? error_kind::outcome_unknown : error_kind::ticket_refused, "unknown ticket"};
    }
    switch (stored->state) {
    case phase::issued:
        break;
    case phase::voided:
        return failure{error_kind::ticket_refused, "ticket was cancelled or has expired"};
    case phase::presented:
    case phase::running:
        return failure{error_kind::in_progress, "ticket was presented before"};
    default:
        return failure{error_kind::outcome_unknown, "ticket was run before"};
    }
    if (stored->digest != digest) {
        this->void_record(target.number, *stored);
        return failure{error_kind::ticket_refused, "the request differs from the reserved one"};
    }
    stored->state = phase::presented;
    --this->issued;
    return done{};
}

bool ticket_table::start(const ticket& target) {
    const std::lock_guard lock{this->mutex};
    record* stored = this->find(target);
    if (stored == nullptr || stored->state != phase::presented) {
        return false;
    }
    stored->state = phase::running;
    return true;
}

void ticket_table::finish(const ticket& target) {
    const std::lock_guard lock{this->mutex};
    record* stored = this->find(target);
    if (stored == nullptr || stored->state != phase::running) {
        return;
    }
    stored->state = phase::finished;
    --this->open;
    this->record_final(this->finished, target.number);
}

ticket_state ticket_table::cancel(const ticket& target) {
    const std::lock_guard lock{this->mutex};
    this->expire();
    record* stored = this->find(target);
    if (stored == nullptr) {
        return ticket_state::unknown;
    }
    switch (stored->state) {
    case phase::issued:
    case phase::presented:
        this->void_record(target.number, *stored);
        return ticket_state::not_started;
    case phase::voided:
        return ticket_state::not_started;
    case phase::running:
        return ticket_state::running;
    default:
        return ticket_state::started;
    }
}

std::size_t ticket_table::open_count() {
    const std::lock_guard lock{this->mutex};
    this->expire();
    return this->open;
}

std::size_t ticket_table::unused_count() {
    const std::lock_guard lock{this->mutex};
    this->expire();
    return this->issued;
}

ticket_table::record* ticket_table::find(const ticket& target) {
    if (target.incarnation != this->own_incarnation) {
        return nullptr;
    }
    const auto found = this->records.find(target.number);
    return found == this->records.end() ? nullptr : &found->second;
}

void ticket_table::expire() {
    // All tickets have the same lifetime, so the deadlines are in issue order.
    const steady_time now = this->time.now();
    while (!this->deadlines.empty() && this->deadlines.front().at <= now) {
        const std::uint64_t number = this->deadlines.front().number;
        this->deadlines.pop_front();
        const auto found = this->records.find(number);
        if (found != this->records.end() && found->second.state == phase::issued) {
            this->void_record(number, found->second);
        }
    }
}

void ticket_table::void_record(std::uint64_t number, record& stored) {
    if (stored.state == phase::issued) {
        --this->issued;
    }
    --this->open;
    stored.state = phase::voided;
    this->record_final(this->voided, number);
}

void ticket_table::record_final(final_order& final_numbers, std::uint64_t number) {
    final_numbers.push_back(number);
    if (final_numbers.size() > this->limit) {
        this->records.erase(final_numbers.front());
        final_numbers.pop_front();
    }
}

} // namespace pomelohoist
