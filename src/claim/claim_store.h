#pragma once

#include "inner/messages.h"
#include "platform/table_service.h"

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

/// Rows that make a non-idempotent request run at most once, through whichever entry it comes.
namespace pomelohoist {

enum class claim_state : std::uint8_t { claimed, completed, count };

/// Content of the row `claim/WORKSPACE/SHA256(key)`.
struct claim {
    std::string attempt;     ///< random id of the attempt that holds the claim
    std::string body_digest; ///< digest of the request, tells another request under the same key
    net_address agent;       ///< inner address of the agent that gave the ticket
    ticket granted;
    claim_state state{claim_state::claimed};
    std::optional<inner::stored_response> response; ///< when completed

    friend bool operator==(const claim&, const claim&) = default;
};

/// A claim with the revision of its row.
struct claim_record {
    claim content;
    std::uint64_t revision{0};
    bool is_own{false}; ///< the row holds the attempt that was inserted

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// Claim rows are never removed by this class.
class claim_store {
  public:
    /// Largest answer (body and content type) that a row takes; larger rows would slow the table for everyone.
    static constexpr std::size_t max_response_bytes = 65536;

    explicit claim_store(table_service& rows);

    /// Inserts the claim unless there is one. A lost answer is resolved by reading the row back.
    /// @returns the row that stands now: the caller's own (`is_own`) or that of another attempt; or `store_unavailable`
    /// @attention after `store_unavailable` the row may exist; the request must not run under this claim
    result<claim_record> insert(const std::string& workspace_name, const std::string& key, const claim& wanted);

    /// @returns the row, nothing inside when there is none, or `store_unavailable`
    result<std::optional<claim_record>> find(const std::string& workspace_name, const std::string& key);

    /// Replaces the claim of an attempt that is proved not to have run, if the row still has that revision.
    /// @returns the row that stands now: the caller's own (`is_own`) or that of another attempt; or `store_unavailable`
    /// @attention after `store_unavailable` the row may be the caller's; the request must not run under this claim
    result<claim_record> take_over(const std::string& workspace_name, const std::string& key,
                                   const claim_record& previous, const claim& wanted);

    /// Writes the answer into the row of this attempt.
    /// @returns done, also when another process has completed the same attempt; `payload_too_large` for an answer over
    /// `max_response_bytes`, which stays only in the agent's memory; `conflict` when another attempt holds the row; or
    /// `store_unavailable`
    result<done> complete(const std::string& workspace_name, const std::string& key, const claim_record& own,
                          const inner::stored_response& answer);

  private:
    result<std::optional<claim_record>> read(const std::string& key, const std::string& attempt);
    result<claim_record> write(const std::string& key, std::uint64_t revision, const claim& wanted);

    table_service& table;
};

} // namespace pomelohoist
