#include "platform/guarded_table.h"

namespace pomelohoist {

guarded_table::guarded_table(table_service& rows, circuit_breaker& breaker_of_store)
    : table(rows), breaker(breaker_of_store) {}

template <class Content, class Call> result<Content> guarded_table::guard(Call call) {
    const std::optional<breaker_permit> permit = this->breaker.try_pass();
    if (!permit) {
        return failure{error_kind::store_unavailable, "table service: circuit breaker is open"};
    }
    result<Content> answer = call();
    this->breaker.report(*permit, answer || answer.last_error().kind != error_kind::store_unavailable);
    return answer;
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
