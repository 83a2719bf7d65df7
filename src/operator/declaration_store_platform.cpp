#include "operator/declaration_store.h"

namespace pomelohoist {

platform_declaration_store::platform_declaration_store(table_service& service, configuration_commit& change_committer)
    : table(service), committer(change_committer) {}

result<configuration> platform_declaration_store::read_newest() {
    return this->committer.read_newest();
}

result<configuration> platform_declaration_store::commit(const configuration_change& change) {
    return this->committer.commit(change);
}

result<std::vector<registered_entry>> platform_declaration_store::read_entries() {
    const result<std::vector<table_row>> rows = this->table.list(entry_row_prefix);
    if (!rows) {
        return rows.last_error();
    }
    return parse_entry_rows(*rows);
}

} // namespace pomelohoist
