#pragma once

#include "balance/copy_pacer.h"
#include "replay/expert_trace.h"

#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Runs balance policies over a trace.
namespace pomelohoist {

/// Names of all policies, in the order of the report.
const std::vector<std::string>& policy_names();

/// @param name one of `policy_names`
/// @returns the policy, or null for another name
std::unique_ptr<expert_balancer> make_policy(std::string_view name, const expert_shape& shape,
                                             const balance_options& options);

/// Cost of one step.
struct step_outcome {
    std::uint64_t step{0};
    double skew{0.0};             ///< (slowest - fastest rank) / mean
    double step_time{0.0};        ///< time of the slowest rank, in tokens at nominal speed
    std::uint64_t copies{0};      ///< experts copied after the step
    std::uint64_t stall_steps{0}; ///< steps for which the group waits until the copies have arrived

    friend bool operator==(const step_outcome&, const step_outcome&) = default;
};

struct policy_summary {
    std::string policy;
    std::uint64_t steps{0};
    double p50_skew{0.0};
    double p95_skew{0.0};
    std::uint64_t moves{0};
    std::uint64_t stall_steps{0};
    double mean_step_time{0.0};
    double p95_step_time{0.0};

    friend bool operator==(const policy_summary&, const policy_summary&) = default;
};

/// @param values need not be sorted
/// @returns the smallest value that at least `fraction` of the values do not exceed; 0 for an empty list
double quantile(std::vector<double> values, double fraction);

/// Simulates a group of ranks under one policy. The step times follow from the map, the tokens and the true speeds; the
/// policy receives the times and never the speeds.
class policy_run {
  public:
    policy_run(std::string policy_name, std::unique_ptr<expert_balancer> policy_balancer, const expert_shape& shape,
               const balance_options& options);

    /// @returns done, or the failure of a plan that is not valid
    result<done> run_step(const trace_step& step);
    [[nodiscard]] const std::string& name() const { return this->policy; }
    [[nodiscard]] const std::vector<step_outcome>& outcomes() const { return this->step_outcomes; }
    [[nodiscard]] const expert_map& map() const { return this->current_map; }
    [[nodiscard]] policy_summary summary() const;

  private:
    std::string policy;
    std::unique_ptr<expert_balancer> balancer;
    expert_map current_map;
    double copies_per_step;
    copy_pacer weight_store;
    std::vector<step_outcome> step_outcomes;
};

/// Result of a completed run.
struct policy_result {
    policy_summary summary;
    std::vector<step_outcome> outcomes;

    friend bool operator==(const policy_result&, const policy_result&) = default;
};

/// Runs the policies over the same trace, which is read once.
/// @param policies names from `policy_names`
/// @returns one result for each policy, or the failure of the trace or of a plan
result<std::vector<policy_result>> replay(step_source& trace, const std::vector<std::string>& policies,
                                          const balance_options& options);

} // namespace pomelohoist
