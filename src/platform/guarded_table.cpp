#include "platform/guarded_table.h"

namespace pomelohoist {

guarded_table::guarded_table(table_service& rows, circuit_breaker& breaker_of_store)
    : table(rows), breaker(breaker_of_store) {}

template <class Content, class Call> result<Content> guarded_table::guard(Call call) {
    const std::optional<breaker_permit> permit = this->breaker.try_acquire();
    if (!permit) {
        return failure{error_kind::store_unavailable, "table service: circuit breaker is open"};
    }
    result<Content> response = call();
    this->breaker.report(*permit, response || response.last_error().kind != error_kind::store_unavailable);
    return response;
}

result<std::optional<table_row>> guarded_table::get(const std::string& key) {
    return this->guard<std::optional<table_row>>([&] { return this->table.get(key); });
}

result<std::vector<table_row>> guarded_table::list(const std::string& prefix) {
    return this->guard<std::vector<table_row>>([&] { return this->table.list(prefix); });
}

result<transaction_outcome> guarded_table::commit(const table_transaction& transaction) {
    return this->guard<transaction_outcome>([&] { return this->table.commit(transaction); });
}

} // namespace pomelohoist
