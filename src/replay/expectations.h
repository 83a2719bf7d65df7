#pragma once

#include "replay/policy_run.h"

#include <optional>
#include <string>
#include <vector>

/// Expected outcomes of a replay, read from the section [expect] of an INI file.
namespace pomelohoist {

struct expectations {
    std::optional<double>
        p95_skew_vs_never_move_max; ///< limit of the p95 skew of adaptive, as a share of that of never_move
    std::optional<double>
        moves_vs_greedy_replan_max; ///< limit of the moves of adaptive, as a share of those of greedy_replan
    std::optional<double> plan_stall_steps_max; ///< limit of the stall steps of adaptive

    friend bool operator==(const expectations&, const expectations&) = default;
};

/// @returns the expectations, or `invalid_settings`
result<expectations> load_expectations(const std::string& file);

/// @param results holds all three policies
/// @returns one line of text for each unmet expectation
std::vector<std::string> find_unmet(const expectations& expected, const std::vector<policy_result>& results);

} // namespace pomelohoist
