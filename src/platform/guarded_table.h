#pragma once

#include "platform/circuit_breaker.h"
#include "platform/table_service.h"

/// A table service behind a circuit breaker.
namespace pomelohoist {

/// While the breaker is open, calls fail at once with `store_unavailable` and do not reach the store.
class guarded_table : public table_service {
  public:
    guarded_table(table_service& rows, circuit_breaker& breaker_of_store);

    result<std::optional<table_row>> get(const std::string& key) override;
    result<std::vector<table_row>> list(const std::string& prefix) override;
    result<transaction_outcome> commit(const table_transaction& transaction) override;

  private:
    template <class Content, class Call> result<Content> guard(Call call);

    table_service& table;
    circuit_breaker& breaker;
};

} // namespace pomelohoist
