#include "group/step_reports.h"

#include "inner/frame_channel.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

step_reports::step_reports(group_place own_place, std::string process, const group_directory& known_ranks)
    : place(std::move(own_place)), process_name(std::move(process)), directory(known_ranks) {}

void step_reports::add(const inner::step_report& report) {
    const std::lock_guard lock{this->mutex};
    if (!this->kept.empty() && report.step <= this->kept.back().step) {
        return;
    }
    this->kept.push_back(report);
    if (this->kept.size() > config::kept_step_reports) {
        this->kept.pop_front();
    }
}

inner::step_report step_reports::find(std::uint64_t step) const {
    const std::lock_guard lock{this->mutex};
    const auto found = std::find_if(this->kept.begin(), this->kept.end(),
                                    [step](const inner::step_report& report) { return report.step == step; });
    return found == this->kept.end() ? inner::step_report{} : *found;
}

std::vector<inner::step_report> step_reports::latest() {
    std::uint64_t step = 0;
    {
        const std::lock_guard lock{this->mutex};
        if (this->kept.size() < 2) {
            return {};
        }
        // In lock-step, a rank that has reported a step proves that all have reported the one before.
        step = this->kept[this->kept.size() - 2].step;
    }
    const std::vector<net_address> agents = this->directory.addresses();
    std::vector<inner::step_report> reports;
    for (std::uint32_t rank = 0; rank < this->place.ranks; ++rank) {
        inner::step_report report;
        if (rank == this->place.rank) {
            report = this->find(step);
        } else if (agents[rank].port != 0) {
            const auto reply = inner::call_stream<inner::step_report>(
                agents[rank], this->process_name, inner::step_report_request{this->place.group, step},
                config::map_call_timeout);
            report = reply ? *reply : report;
        }
        if (report.time_ms <= 0 || report.step != step) {
            return {};
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace pomelohoist
