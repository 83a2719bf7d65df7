#include "replay/expectations.h"

#include "common/settings.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <string_view>

namespace pomelohoist {

namespace {

constexpr const char* skew_key = "expect.p95_skew_vs_never_move_max";
constexpr const char* moves_key = "expect.moves_vs_greedy_replan_max";
constexpr const char* stalls_key = "expect.plan_stall_steps_max";

std::optional<double> optional_number(const settings& values, const std::string& key) {
    if (values.text(key).empty()) {
        return std::nullopt;
    }
    return values.number(key);
}

const policy_summary& summary_of(const std::vector<policy_result>& results, std::string_view name) {
    return std::find_if(results.begin(), results.end(),
                        [name](const policy_result& each) { return each.summary.policy == name; })
        ->summary;
}

/// Adds a line to `unmet` when the value exceeds the limit times the baseline. Compares products rather than
/// quotients, so that a baseline of 0 needs no special case.
void check_share(const char* key, const std::optional<double>& limit, double value, double baseline,
                 std::vector<std::string>& unmet) {
    if (limit && value > *limit * baseline) {
        unmet.push_back(fmt::format("{}: {:.4g} of {:.4g} is above the share {:.4g}", key, value, baseline, *limit));
    }
}

} // namespace

result<expectations> load_expectations(const std::string& file) {
    const settings_schema schema{
        {skew_key, setting_type::number, false, "", "p95 skew of adaptive as a share of never_move", {}},
        {moves_key, setting_type::number, false, "", "moves of adaptive as a share of greedy_replan", {}},
        {stalls_key, setting_type::number, false, "", "stall steps of adaptive", {}},
    };
    const result<settings> loaded = settings::load(file, schema);
    if (!loaded) {
        return loaded.last_error();
    }
    return expectations{optional_number(*loaded, skew_key), optional_number(*loaded, moves_key),
                        optional_number(*loaded, stalls_key)};
}

std::vector<std::string> find_unmet(const expectations& expected, const std::vector<policy_result>& results) {
    const policy_summary& adaptive = summary_of(results, "adaptive");
    std::vector<std::string> unmet;
    check_share(skew_key, expected.p95_skew_vs_never_move_max, adaptive.p95_skew,
                summary_of(results, "never_move").p95_skew, unmet);
    check_share(moves_key, expected.moves_vs_greedy_replan_max, static_cast<double>(adaptive.moves),
                static_cast<double>(summary_of(results, "greedy_replan").moves), unmet);
    if (expected.plan_stall_steps_max && static_cast<double>(adaptive.stall_steps) > *expected.plan_stall_steps_max) {
        unmet.push_back(
            fmt::format("{}: {} is above {:.4g}", stalls_key, adaptive.stall_steps, *expected.plan_stall_steps_max));
    }
    return unmet;
}

} // namespace pomelohoist
