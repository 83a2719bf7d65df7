#include "replay/policy_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelohoist {

namespace {

double skew_of(const std::vector<double>& times) {
    double sum = 0.0;
    for (const double time : times) {
        sum += time;
    }
    if (!(sum > 0.0)) {
        return 0.0; // an idle step
    }
    const auto [fastest, slowest] = std::minmax_element(times.begin(), times.end());
    return (*slowest - *fastest) * static_cast<double>(times.size()) / sum;
}

} // namespace

const std::vector<std::string>& policy_names() {
    static const std::vector<std::string> names{"adaptive", "never_move", "greedy_replan"};
    return names;
}

std::unique_ptr<expert_balancer> make_policy(std::string_view name, const expert_shape& shape,
                                             const balance_options& options) {
    if (name == "adaptive") {
        return make_adaptive_balancer(shape, options);
    }
    if (name == "never_move") {
        return make_never_move_balancer();
    }
    if (name == "greedy_replan") {
        return make_greedy_replan_balancer(shape, options);
    }
    return nullptr;
}

double quantile(std::vector<double> values, double fraction) {
    if (values.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

policy_run::policy_run(std::string policy_name, std::unique_ptr<expert_balancer> policy_balancer,
                       const expert_shape& shape, const balance_options& options)
    : policy(std::move(policy_name)), balancer(std::move(policy_balancer)), current_map(shape),
      copies_per_step(options.copies_per_step), weight_store(options.copies_per_step) {}

result<done> policy_run::run_step(const trace_step& step) {
    std::vector<double> times = rank_loads(this->current_map, step.tokens);
    for (std::size_t rank = 0; rank < times.size(); ++rank) {
        times[rank] /= step.speeds[rank];
    }
    step_outcome outcome{step.step, skew_of(times), *std::max_element(times.begin(), times.end()), 0, 0};
    this->weight_store.advance();
    this->balancer->observe(step.tokens, times, this->current_map);
    const std::vector<expert_move> moves = this->balancer->plan(this->current_map);
    if (!moves.empty()) {
        result<expert_map> next = this->current_map.with_moves(moves);
        if (!next) {
            return failure{error_kind::internal, this->policy + ": " + next.last_error().reason};
        }
        outcome.copies = count_copies(this->current_map, *next);
        const double excess = this->weight_store.consume(static_cast<double>(outcome.copies));
        outcome.stall_steps = static_cast<std::uint64_t>(std::ceil(excess / this->copies_per_step));
        this->current_map = std::move(*next);
    }
    this->step_outcomes.push_back(outcome);
    return done{};
}

policy_summary policy_run::summary() const {
    policy_summary summary;
    summary.policy = this->policy;
    summary.steps = this->step_outcomes.size();
    std::vector<double> skews;
    std::vector<double> times;
    for (const step_outcome& outcome : this->step_outcomes) {
        skews.push_back(outcome.skew);
        times.push_back(outcome.step_time);
        summary.moves += outcome.copies;
        summary.stall_steps += outcome.stall_steps;
        summary.mean_step_time += outcome.step_time / static_cast<double>(this->step_outcomes.size());
    }
    summary.p50_skew = quantile(skews, 0.5);
    summary.p95_skew = quantile(std::move(skews), 0.95);
    summary.p95_step_time = quantile(std::move(times), 0.95);
    return summary;
}

result<std::vector<policy_result>> replay(step_source& trace, const std::vector<std::string>& policies,
                                          const balance_options& options) {
    std::vector<policy_run> runs;
    runs.reserve(policies.size());
    for (const std::string& name : policies) {
        runs.emplace_back(name, make_policy(name, trace.shape(), options), trace.shape(), options);
    }
    while (true) {
        const result<std::optional<trace_step>> step = trace.next();
        if (!step) {
            return step.last_error();
        }
        if (!*step) {
            break;
        }
        for (policy_run& run : runs) {
            const result<done> finished = run.run_step(**step);
            if (!finished) {
                return finished.last_error();
            }
        }
    }
    std::vector<policy_result> results;
    results.reserve(runs.size());
    for (const policy_run& run : runs) {
        results.push_back({run.summary(), run.outcomes()});
    }
    return results;
}

} // namespace pomelohoist
