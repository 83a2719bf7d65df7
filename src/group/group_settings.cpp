#include "group/group_settings.h"

#include "balance/balance_settings.h"

#include <limits>
#include <string>

namespace pomelohoist {

namespace {

/// Reads a count from 1 to 65535.
result<std::uint32_t> read_count(const settings& checked, const std::string& key) {
    const std::int64_t number = checked.integer(key);
    if (number < 1 || number > std::numeric_limits<std::uint16_t>::max()) {
        return failure{error_kind::invalid_settings, key + ": allowed is a whole number from 1 to 65535"};
    }
    return static_cast<std::uint32_t>(number);
}

} // namespace

settings_schema group_schema() {
    settings_schema schema{
        {"group.step_address",
         setting_type::address,
         false,
         "",
         "address on which the rank requests its steps; empty for an endpoint without a group",
         {}},
        {"group.ranks", setting_type::integer, false, "1", "number of ranks of the group", {}, 1},
        {"group.experts", setting_type::integer, false, "1", "number of experts per layer", {}, 1},
        {"group.layers", setting_type::integer, false, "1", "number of layers with experts", {}, 1},
        {"group.slots_per_rank", setting_type::integer, false, "1", "number of expert slots per rank and layer", {}, 1},
    };
    const settings_schema balance = balance_schema();
    schema.insert(schema.end(), balance.begin(), balance.end());
    return schema;
}

result<std::optional<group_settings>> read_group_settings(const settings& checked) {
    if (checked.text("group.step_address").empty()) {
        return std::optional<group_settings>{};
    }
    group_settings read;
    read.step_address = checked.address("group.step_address");
    const result<std::uint32_t> ranks = read_count(checked, "group.ranks");
    const result<std::uint32_t> experts = read_count(checked, "group.experts");
    const result<std::uint32_t> layers = read_count(checked, "group.layers");
    const result<std::uint32_t> slots = read_count(checked, "group.slots_per_rank");
    for (const auto* count : {&ranks, &experts, &layers, &slots}) {
        if (!*count) {
            return count->last_error();
        }
    }
    read.shape = {*ranks, *experts, *layers, *slots};
    if (read.shape.slots_per_layer() < read.shape.experts) {
        return failure{error_kind::invalid_settings, "group.slots_per_rank: the slots of all ranks hold fewer than "
                                                     "group.experts experts"};
    }
    const result<balance_options> balance = read_balance_options(checked);
    if (!balance) {
        return balance.last_error();
    }
    read.balance = *balance;
    return std::optional{read};
}

} // namespace pomelohoist
