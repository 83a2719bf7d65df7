#include "claim/claim_store.h"

#include "common/digest.h"
#include "inner/codec.h"

#include <utility>

namespace pomelohoist {

namespace {

// A second write is needed when the response to the first was lost and the read-back found no row. More writes would
// use up the caller's deadline.
constexpr int max_write_attempts = 2;
constexpr int max_complete_attempts = 3;

/// Serialized form of a claim. Encoded with cereal instead of JSON, because response bodies may hold any bytes.
struct stored_claim {
    claim content;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->content.attempt, this->content.body_digest, this->content.agent, this->content.granted,
                this->content.state, this->content.response);
    }
};

std::string row_key(const std::string& workspace_name, const std::string& key) {
    return "claim/" + workspace_name + "/" + sha256_hex(key);
}

bool is_too_large(const std::optional<inner::stored_response>& response) {
    return response && response->body.size() + response->content_type.size() > claim_store::max_response_bytes;
}

} // namespace

claim_store::claim_store(table_service& rows) : table(rows) {}

result<std::optional<claim_record>> claim_store::read(const std::string& key, const std::string& attempt) {
    const result<std::optional<table_row>> row = this->table.get(key);
    if (!row) {
        return row.last_error();
    }
    if (!*row) {
        return std::optional<claim_record>{};
    }
    const result<stored_claim> stored = inner::decode<stored_claim>((*row)->value);
    if (!stored) {
        return failure{error_kind::internal, "claim row " + key + ": " + stored.last_error().reason};
    }
    const bool is_own = !attempt.empty() && stored->content.attempt == attempt;
    return std::optional{claim_record{stored->content, (*row)->revision, is_own}};
}

result<claim_record> claim_store::write(const std::string& key, std::uint64_t revision, const claim& new_claim) {
    if (is_too_large(new_claim.response)) {
        return failure{error_kind::payload_too_large, "claim row " + key + ": response is too large to store"};
    }
    const table_transaction transaction{{row_condition{key, revision}},
                                        {row_write{key, inner::encode(stored_claim{new_claim})}}};
    failure last_failure{error_kind::store_unavailable, "claim row " + key + " was not written"};
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        const result<transaction_outcome> outcome = this->table.commit(transaction);
        if (outcome && outcome->committed) {
            return claim_record{new_claim, outcome->revision, true};
        }
        // The row is read back, because this attempt may own the row despite the failed write: the write may have taken
        // effect although its response was lost, or it may have been refused because an earlier write of this attempt
        // had taken effect.
        const result<std::optional<claim_record>> current = this->read(key, new_claim.attempt);
        if (!current) {
            return current.last_error();
        }
        if (*current && ((*current)->is_own || (*current)->revision != revision)) {
            return **current;
        }
        if (!outcome) {
            last_failure = outcome.last_error();
        }
    }
    return last_failure;
}

result<claim_record> claim_store::insert(const std::string& workspace_name, const std::string& key,
                                         const claim& new_claim) {
    return this->write(row_key(workspace_name, key), 0, new_claim);
}

result<std::optional<claim_record>> claim_store::find(const std::string& workspace_name, const std::string& key) {
    return this->read(row_key(workspace_name, key), {});
}

result<claim_record> claim_store::take_over(const std::string& workspace_name, const std::string& key,
                                            const claim_record& previous, const claim& new_claim) {
    return this->write(row_key(workspace_name, key), previous.revision, new_claim);
}

result<done> claim_store::complete(const std::string& workspace_name, const std::string& key, const claim_record& own,
                                   const inner::stored_response& response) {
    claim completed = own.content;
    completed.state = claim_state::completed;
    completed.response = response;
    std::uint64_t revision = own.revision;
    for (int attempt = 0; attempt < max_complete_attempts; ++attempt) {
        const result<claim_record> current = this->write(row_key(workspace_name, key), revision, completed);
        if (!current) {
            return current.last_error();
        }
        if (!current->is_own) {
            return failure{error_kind::conflict, "the claim is held by another attempt"};
        }
        if (current->content.state == claim_state::completed) {
            return done{};
        }
        revision = current->revision;
    }
    return failure{error_kind::store_unavailable, "the claim was not completed"};
}

} // namespace pomelohoist
