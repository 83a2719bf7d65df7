#include "entry/claim_access.h"

namespace pomelohoist {

namespace {

class claim_access_store : public claim_access {
  public:
    explicit claim_access_store(table_service& rows) : store(rows) {}

    result<claim_record> insert(const entry_request& request, const claim& new_claim) override {
        return this->store.insert(request.workspace, request.idempotency_key, new_claim);
    }
    result<std::optional<claim_record>> find(const entry_request& request) override {
        return this->store.find(request.workspace, request.idempotency_key);
    }
    result<claim_record> take_over(const entry_request& request, const claim_record& previous,
                                   const claim& new_claim) override {
        return this->store.take_over(request.workspace, request.idempotency_key, previous, new_claim);
    }
    result<done> complete(const entry_request& request, const claim_record& own,
                          const inner::stored_response& response) override {
        return this->store.complete(request.workspace, request.idempotency_key, own, response);
    }

  private:
    claim_store store;
};

} // namespace

std::unique_ptr<claim_access> make_claim_access(table_service& rows) {
    return std::make_unique<claim_access_store>(rows);
}

} // namespace pomelohoist
