#pragma once

#include <pomelohoist/error.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The platform's transactional table service: rows by key, each with the revision of its last write.
namespace pomelohoist {

struct table_row {
    std::string key;
    std::string value;
    std::uint64_t revision{0}; ///< revision of the last write; revisions grow over the whole table

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// Condition of a transaction: the row has this revision; 0 means that the row does not exist.
struct row_condition {
    std::string key;
    std::uint64_t revision{0};

    friend bool operator==(const row_condition&, const row_condition&) = default;
};

/// A write of a transaction.
struct row_write {
    std::string key;
    std::optional<std::string> value; ///< empty optional: the transaction removes the row

    friend bool operator==(const row_write&, const row_write&) = default;
};

struct table_transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;

    friend bool operator==(const table_transaction&, const table_transaction&) = default;
};

struct transaction_outcome {
    bool committed{false};     ///< false: a condition did not hold and nothing was written
    std::uint64_t revision{0}; ///< revision of the table after the transaction

    friend bool operator==(const transaction_outcome&, const transaction_outcome&) = default;
};

class table_service {
  public:
    virtual ~table_service() = default;
    /// @returns the row, an empty optional when it does not exist, or `store_unavailable`
    virtual result<std::optional<table_row>> get(const std::string& key) = 0;
    /// @returns the rows whose keys start with the prefix, ascending, or `store_unavailable`
    virtual result<std::vector<table_row>> list(const std::string& prefix) = 0;
    /// @returns the outcome, or `store_unavailable`
    /// @attention after a failure the transaction may have taken effect; read the rows to determine the outcome
    virtual result<transaction_outcome> commit(const table_transaction& transaction) = 0;
};

} // namespace pomelohoist
