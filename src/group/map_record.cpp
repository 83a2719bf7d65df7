#include "group/map_record.h"

#include <nlohmann/json.hpp>

#include <exception>
#include <optional>
#include <utility>
#include <vector>

namespace pomelohoist {

namespace {

using nlohmann::json;

struct stored_map {
    expert_map map;
    std::uint64_t epoch{0};
};

std::optional<stored_map> parse(const std::string& text, const expert_shape& shape) {
    try {
        const json content = json::parse(text);
        const result<expert_map> map = expert_map::make(shape, content.at("version").get<std::uint64_t>(),
                                                        content.at("slots").get<std::vector<std::uint32_t>>());
        if (!map) {
            return std::nullopt;
        }
        return stored_map{*map, content.at("epoch").get<std::uint64_t>()};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

map_record::map_record(table_service& store, const std::string& group, const expert_shape& group_shape)
    : table(store), key("map/" + group), shape(group_shape) {}

result<expert_map> map_record::read() {
    const result<std::optional<table_row>> row = this->table.get(this->key);
    if (!row) {
        return row.last_error();
    }
    const std::optional<stored_map> stored = *row ? parse((*row)->value, this->shape) : std::nullopt;
    return stored ? stored->map : expert_map{this->shape};
}

result<done> map_record::write(const expert_map& committed, std::uint64_t epoch) {
    const result<std::optional<table_row>> row = this->table.get(this->key);
    if (!row) {
        return row.last_error();
    }
    const std::optional<stored_map> stored = *row ? parse((*row)->value, this->shape) : std::nullopt;
    if (stored && stored->epoch > epoch) {
        return failure{error_kind::stale_epoch, this->key + " was written under a higher epoch"};
    }
    if (stored && stored->map.version() >= committed.version()) {
        return done{};
    }
    const std::vector<std::uint32_t> slots{committed.slots().begin(), committed.slots().end()};
    const std::string text = json{{"version", committed.version()}, {"epoch", epoch}, {"slots", slots}}.dump();
    const result<transaction_outcome> outcome = this->table.commit(
        table_transaction{{row_condition{this->key, *row ? (*row)->revision : 0}}, {{this->key, text}}});
    if (!outcome) {
        return outcome.last_error();
    }
    if (!outcome->committed) {
        return failure{error_kind::conflict, this->key + " has changed"};
    }
    return done{};
}

} // namespace pomelohoist
