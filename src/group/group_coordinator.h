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

/// Plans the expert maps of one group and starts the switches, while its agent holds `lease/GROUP`.
namespace pomelohoist {

/// Source of the measurements of all ranks.
class step_measurements {
  public:
    virtual ~step_measurements() = default;
    /// @returns the reports of all ranks for one step that all ranks have finished, in the order of the ranks; empty
    /// when a report is missing
    virtual std::vector<inner::step_report> latest() = 0;
};

/// Objects that a coordinator uses.
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

/// Result of one run of the coordinator.
enum class coordinator_outcome : std::uint8_t {
    not_holder,     ///< the lease is not held, or the map in force or its content is not available
    no_measurement, ///< no new reports of all ranks, or the own rank has not started a step on the map in force
    no_change,      ///< the balancer plans no moves
    copying,        ///< the weight store has not accepted all copies yet
    committed,
    aborted,
    count
};

/// @attention not thread-safe
class group_coordinator {
  public:
    group_coordinator(const group_position& own_position, const coordinator_parts& used_parts,
                      std::unique_ptr<expert_balancer> policy);

    /// Observes the latest measurements, plans the next map, requests the copies of its weights and switches to it, as
    /// far as currently possible. Starts at most one switch.
    coordinator_outcome run();
    /// @returns reason of the last aborted switch or refused copy
    [[nodiscard]] const std::string& last_reason() const { return this->reason; }

  private:
    struct expert_copy {
        std::uint32_t layer{0};
        std::uint32_t expert{0};
        std::uint32_t rank{0};
    };

    void observe(const std::vector<inner::step_report>& reports, const expert_map& in_force);
    void plan(const expert_map& in_force);
    bool request_copies();
    coordinator_outcome start_switch(std::uint64_t epoch, const map_start& in_force);
    [[nodiscard]] std::uint64_t lead_steps() const;

    group_position position;
    coordinator_parts parts;
    std::unique_ptr<expert_balancer> balancer;
    steady_time next_observation{};
    std::optional<std::uint64_t> observed_step;
    double step_ms{0};
    std::optional<expert_map> planned_map;
    map_id planned_base;
    std::vector<expert_copy> pending_copies; ///< not yet accepted by the weight store
    std::uint64_t recorded_version{0};
    std::uint32_t consecutive_aborts{0};
    std::string reason;
};

} // namespace pomelohoist
