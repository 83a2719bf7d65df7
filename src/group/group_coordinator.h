#pragma once

#include "group/map_library.h"
#include "group/map_record.h"
#include "group/switch_coordinator.h"
#include "lease/lease.h"
#include "platform/weight_store.h"

#include <pomelohoist/expert_balance.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Decides for one group when to switch to which map, while its agent holds `lease/GROUP`.
namespace pomelohoist {

/// Where the coordinator reads the measurements of the ranks.
class step_measurements {
  public:
    virtual ~step_measurements() = default;
    /// @returns the reports of all ranks on one step that all of them have finished, ascending by rank; empty when a
    /// report is missing
    virtual std::vector<inner::step_report> latest() = 0;
};

/// What a coordinator works with.
/// @attention all must outlive the coordinator
struct coordinator_parts {
    const clock& time;
    lease& group_lease;
    map_library& maps;
    map_record& record;
    weight_store& weights;
    step_measurements& measurements;
    switch_participant& participant;
    switch_coordinator& switches;
};

/// What happened in one turn.
enum class coordinator_turn : std::uint8_t {
    not_holder,
    no_measurement,
    no_change, ///< the balancer keeps the map
    ordering,  ///< copies are on order at the weight store
    committed,
    aborted,
    count
};

/// @attention used by one thread
class group_coordinator {
  public:
    group_coordinator(const group_place& own_place, const coordinator_parts& used_parts,
                      std::unique_ptr<expert_balancer> policy);

    /// Observes, plans, orders or switches: one of these at most.
    coordinator_turn run();
    /// @returns reason of the last aborted switch or refused order
    [[nodiscard]] const std::string& last_reason() const { return this->reason; }

  private:
    struct copy_order {
        std::uint32_t layer{0};
        std::uint32_t expert{0};
        std::uint32_t rank{0};
    };

    void observe(const std::vector<inner::step_report>& reports, const expert_map& in_force);
    void plan(const expert_map& in_force);
    bool order_copies();
    coordinator_turn start_switch(std::uint64_t epoch, const map_start& in_force);
    [[nodiscard]] std::uint64_t lead_steps() const;

    group_place place;
    coordinator_parts parts;
    std::unique_ptr<expert_balancer> balancer;
    steady_time next_observation{};
    std::optional<std::uint64_t> observed_step;
    double step_ms{0};
    std::optional<expert_map> planned;
    map_id planned_base;
    std::vector<copy_order> orders; ///< not yet taken by the weight store
    std::uint64_t recorded_version{0};
    std::uint32_t late_prepares{0}; ///< switches in a row that came after their step
    std::string reason;
};

} // namespace pomelohoist
