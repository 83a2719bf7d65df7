#pragma once

#include "claim/claim_store.h"
#include "entry/entry_request.h"

#include <memory>
#include <optional>

namespace pomelohoist {

/// Access to claims by request. Each function does the same as the function of that name in `claim_store`.
class claim_access {
  public:
    virtual ~claim_access() = default;
    virtual result<claim_record> insert(const entry_request& request, const claim& new_claim) = 0;
    virtual result<std::optional<claim_record>> find(const entry_request& request) = 0;
    virtual result<claim_record> take_over(const entry_request& request, const claim_record& previous,
                                           const claim& new_claim) = 0;
    virtual result<done> complete(const entry_request& request, const claim_record& own,
                                  const inner::stored_response& response) = 0;
};

/// @param rows must outlive the result
/// @returns access to the rows of the table service
std::unique_ptr<claim_access> make_claim_access(table_service& rows);

} // namespace pomelohoist
