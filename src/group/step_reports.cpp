#include "group/step_reports.h"

#include "inner/frame_channel.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

step_reports::step_reports(group_position own_position, std::string own_process, const group_directory& agent_directory)
    : position(std::move(own_position)), process_name(std::move(own_process)), directory(agent_directory) {}

void step_reports::add(const inner::step_report& report) {
    const std::lock_guard lock{this->mutex};
    if (!this->recent.empty() && report.step <= this->recent.back().step) {
        return;
    }
    this->recent.push_back(report);
    if (this->recent.size() > config::kept_step_reports) {
        this->recent.pop_front();
    }
}

inner::step_report step_reports::find(std::uint64_t step) const {
    const std::lock_guard lock{this->mutex};
    const auto found = std::find_if(this->recent.begin(), this->recent.end(),
                                    [step](const inner::step_report& report) { return report.step == step; });
    return found == this->recent.end() ? inner::step_report{} : *found;
}

std::vector<inner::step_report> step_reports::latest() {
    std::uint64_t step = 0;
    {
        const std::lock_guard lock{this->mutex};
        if (this->recent.size() < 2) {
            return {};
        }
        // The ranks run in lock-step: when one rank has reported a step, all ranks have reported the previous step.
        step = this->recent[this->recent.size() - 2].step;
    }
    const std::vector<net_address> agents = this->directory.addresses();
    std::vector<inner::step_report> reports;
    for (std::uint32_t rank = 0; rank < this->position.ranks; ++rank) {
        inner::step_report report;
        if (rank == this->position.rank) {
            report = this->find(step);
        } else if (agents[rank].port != 0) {
            const auto response = inner::call_stream<inner::step_report>(
                agents[rank], this->process_name, inner::step_report_request{this->position.group, step},
                config::map_call_timeout);
            report = response ? *response : report;
        }
        if (report.time_ms <= 0 || report.step != step) {
            return {};
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace pomelohoist
