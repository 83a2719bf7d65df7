#pragma once

#include "inner/messages.h"
#include "platform/table_service.h"

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

/// Table rows that ensure that a request with an idempotency key runs at most once, through any entry.
namespace pomelohoist {

enum class claim_state : std::uint8_t { claimed, completed, count };

/// Content of the row `claim/WORKSPACE/SHA256(key)`.
struct claim {
    std::string attempt;     ///< random id of the attempt that holds the claim
    std::string body_digest; ///< digest of the request; detects a different request under the same key
    net_address agent;       ///< inner address of the agent that granted the ticket
    ticket granted;
    claim_state state{claim_state::claimed};
    std::optional<inner::stored_response> response; ///< set in the state `completed`

    friend bool operator==(const claim&, const claim&) = default;
};

/// A claim with the revision of its row.
struct claim_record {
    claim content;
    std::uint64_t revision{0};
    bool is_own{false}; ///< the row holds the caller's own attempt

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// Stores claims in the table service. Never removes claim rows.
class claim_store {
  public:
    /// Largest response (body and content type, in bytes) that a row may hold; larger rows would slow the table for all
    /// its users.
    static constexpr std::size_t max_response_bytes = 65536;

    explicit claim_store(table_service& rows);

    /// Inserts the claim unless the key has one. If the table's response is lost, the row is read back.
    /// @returns the current row: the caller's own (`is_own`) or that of another attempt; or `store_unavailable`
    /// @attention after `store_unavailable` the row may exist; the request must not run under this claim
    result<claim_record> insert(const std::string& workspace_name, const std::string& key, const claim& new_claim);

    /// @returns the row, an empty optional when there is none, or `store_unavailable`
    result<std::optional<claim_record>> find(const std::string& workspace_name, const std::string& key);

    /// Replaces the claim of an attempt that is proved not to have run, if the row still has the revision of
    /// `previous`.
    /// @returns the current row: the caller's own (`is_own`) or that of another attempt; or `store_unavailable`
    /// @attention after `store_unavailable` the row may be the caller's; the request must not run under this claim
    result<claim_record> take_over(const std::string& workspace_name, const std::string& key,
                                   const claim_record& previous, const claim& new_claim);

    /// Writes the response into the row of this attempt.
    /// @returns done, also when another process has completed the same attempt; `payload_too_large` for a response
    /// over `max_response_bytes`, which stays only in the agent's memory; `conflict` when another attempt holds the
    /// row; or `store_unavailable`
    result<done> complete(const std::string& workspace_name, const std::string& key, const claim_record& own,
                          const inner::stored_response& response);

  private:
    result<std::optional<claim_record>> read(const std::string& key, const std::string& attempt);
    result<claim_record> write(const std::string& key, std::uint64_t revision, const claim& new_claim);

    table_service& table;
};

} // namespace pomelohoist
