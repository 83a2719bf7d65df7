#include "platform/memory_table.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace pomelohoist {

namespace {

failure unavailable() {
    return {error_kind::store_unavailable, "injected fault"};
}

bool consume_one(std::atomic<std::uint32_t>& budget) {
    std::uint32_t remaining = budget;
    while (remaining > 0 && !budget.compare_exchange_weak(remaining, remaining - 1)) {
    }
    return remaining > 0;
}

} // namespace

bool injected_faults::delay_and_check_failure(bool is_read) {
    const std::chrono::milliseconds time = this->delay;
    if (time.count() > 0) {
        std::this_thread::sleep_for(time);
    }
    return this->down || (is_read && consume_one(this->failing_reads));
}

bool injected_faults::loses_response() {
    return consume_one(this->lost_responses);
}

result<std::optional<table_row>> memory_table::get(const std::string& key) {
    if (this->injected.delay_and_check_failure(true)) {
        return unavailable();
    }
    ++this->read_count;
    const std::lock_guard lock{this->mutex};
    const auto row = this->rows.find(key);
    return row == this->rows.end() ? std::nullopt : std::optional{row->second};
}

result<std::vector<table_row>> memory_table::list(const std::string& prefix) {
    if (this->injected.delay_and_check_failure(true)) {
        return unavailable();
    }
    ++this->read_count;
    std::vector<table_row> found;
    const std::lock_guard lock{this->mutex};
    for (auto row = this->rows.lower_bound(prefix); row != this->rows.end() && row->first.starts_with(prefix); ++row) {
        found.push_back(row->second);
    }
    return found;
}

result<transaction_outcome> memory_table::commit(const table_transaction& transaction) {
    std::function<void()> hook;
    {
        const std::lock_guard lock{this->mutex};
        hook = this->before_commit;
    }
    if (hook) {
        hook();
    }
    if (this->injected.delay_and_check_failure(false)) {
        return unavailable();
    }
    ++this->commit_count;
    transaction_outcome outcome;
    {
        const std::lock_guard lock{this->mutex};
        outcome.committed = std::all_of(
            transaction.conditions.begin(), transaction.conditions.end(), [this](const row_condition& condition) {
                const auto row = this->rows.find(condition.key);
                return condition.revision == (row == this->rows.end() ? 0 : row->second.revision);
            });
        if (outcome.committed && !transaction.writes.empty()) {
            ++this->revision;
            for (const row_write& write : transaction.writes) {
                if (write.value) {
                    this->rows[write.key] = {write.key, *write.value, this->revision};
                } else {
                    this->rows.erase(write.key);
                }
            }
        }
        outcome.revision = this->revision;
    }
    if (this->injected.loses_response()) {
        return unavailable();
    }
    return outcome;
}

void memory_table::set_before_commit(std::function<void()> hook) {
    const std::lock_guard lock{this->mutex};
    this->before_commit = std::move(hook);
}

memory_table::content memory_table::copy() {
    const std::lock_guard lock{this->mutex};
    return {this->rows, this->revision};
}

void memory_table::restore(const content& older) {
    const std::lock_guard lock{this->mutex};
    this->rows = older.rows;
    this->revision = older.revision;
}

result<std::optional<std::string>> memory_objects::get_object(const std::string& name) {
    if (this->injected.delay_and_check_failure(true)) {
        return unavailable();
    }
    const std::lock_guard lock{this->mutex};
    const auto object = this->objects.find(name);
    return object == this->objects.end() ? std::nullopt : std::optional{object->second};
}

result<done> memory_objects::put_object(const std::string& name, const std::string& content) {
    if (this->injected.delay_and_check_failure(false)) {
        return unavailable();
    }
    {
        const std::lock_guard lock{this->mutex};
        this->objects[name] = content;
    }
    if (this->injected.loses_response()) {
        return unavailable();
    }
    return done{};
}

std::size_t memory_objects::size() {
    const std::lock_guard lock{this->mutex};
    return this->objects.size();
}

} // namespace pomelohoist
