#include "balance/balance_settings.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <limits>
#include <string>
#include <string_view>

namespace pomelohoist {

namespace {

constexpr double unlimited = std::numeric_limits<double>::max();
constexpr double max_count = 1e6;

/// A numeric option of section [balance] and its range.
struct option_row {
    std::string_view name;
    double lowest;
    double highest;
    double default_value;
    std::string_view description;
};

constexpr balance_options defaults{};
constexpr double smallest = 1e-9;

constexpr std::array<option_row, 9> rows{{
    {"skew_weight", smallest, unlimited, defaults.skew_weight, "benefit of lower skew, per step"},
    {"move_weight", 0.0, unlimited, defaults.move_weight, "cost of one copied expert"},
    {"horizon_steps", 1.0, unlimited, defaults.horizon_steps,
     "steps over which the benefit of a move must exceed its cost"},
    {"copies_per_step", smallest, max_count, defaults.copies_per_step,
     "experts that the weight store copies in a step"},
    {"load_window_steps", 1.0, unlimited, defaults.load_window_steps, "averaging window of expert load"},
    {"speed_window_steps", 1.0, unlimited, defaults.speed_window_steps, "averaging window of rank speed"},
    {"noise_margin", 0.0, unlimited, defaults.noise_margin, "standard errors by which a saving exceeds the noise"},
    {"min_steps", 1.0, max_count, defaults.min_steps, "observed steps before the first plan"},
    {"max_plan_copies", 1.0, max_count, defaults.max_plan_copies, "copies in one plan"},
}};

std::string key_of(const option_row& row) {
    return "balance." + std::string{row.name};
}

bool is_count(const option_row& row) {
    return row.name == "min_steps" || row.name == "max_plan_copies";
}

} // namespace

settings_schema balance_schema() {
    settings_schema schema;
    for (const option_row& row : rows) {
        schema.push_back({key_of(row),
                          is_count(row) ? setting_type::integer : setting_type::number,
                          false,
                          fmt::format("{}", row.default_value),
                          std::string{row.description},
                          {}});
    }
    return schema;
}

result<balance_options> read_balance_options(const settings& checked) {
    for (const option_row& row : rows) {
        const double value = checked.number(key_of(row));
        if (value < row.lowest || value > row.highest) {
            return failure{error_kind::invalid_settings, fmt::format("[balance] {}: {} is not in {} to {}", row.name,
                                                                     value, row.lowest, row.highest)};
        }
    }
    balance_options options;
    options.skew_weight = checked.number("balance.skew_weight");
    options.move_weight = checked.number("balance.move_weight");
    options.horizon_steps = checked.number("balance.horizon_steps");
    options.copies_per_step = checked.number("balance.copies_per_step");
    options.load_window_steps = checked.number("balance.load_window_steps");
    options.speed_window_steps = checked.number("balance.speed_window_steps");
    options.noise_margin = checked.number("balance.noise_margin");
    options.min_steps = static_cast<std::uint32_t>(checked.integer("balance.min_steps"));
    options.max_plan_copies = static_cast<std::uint32_t>(checked.integer("balance.max_plan_copies"));
    return options;
}

} // namespace pomelohoist
