#include "operator/declaration_store.h"

#include <nlohmann/json.hpp>

namespace pomelohoist {

namespace {

std::string text_of(const nlohmann::json& json, const std::string& key) {
    const auto found = json.find(key);
    return found != json.end() && found->is_string() ? found->get<std::string>() : "";
}

} // namespace

std::vector<registered_entry> parse_entry_rows(const std::vector<table_row>& rows) {
    std::vector<registered_entry> entries;
    entries.reserve(rows.size());
    for (const table_row& row : rows) {
        registered_entry entry;
        entry.name = row.key.substr(std::min(entry_row_prefix.size(), row.key.size()));
        const nlohmann::json json = nlohmann::json::parse(row.value, nullptr, false);
        if (json.is_object()) {
            entry.inner = net_address::parse(text_of(json, "inner")).value_or(net_address{});
            entry.data_centre = text_of(json, "data_centre");
        }
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace pomelohoist
