#pragma once

#include "common/daemon.h"
#include "group/group_coordinator.h"
#include "group/group_directory.h"
#include "group/group_settings.h"
#include "group/map_fetcher.h"
#include "group/step_reports.h"
#include "group/step_server.h"
#include "group/switch_recovery.h"
#include "platform/circuit_breaker.h"
#include "platform/guarded_table.h"
#include "platform/http_platform.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

/// Combines the roles of one agent in its group: participant, recovery and, while it holds the lease, coordinator.
namespace pomelohoist {

/// Objects and settings that a member uses.
/// @attention the references must outlive the member
struct member_parts {
    const daemon_context& context;
    inner::datagram_endpoint& calls;
    const configuration_source& source;
    fencing_gate& gate;
    std::string process_name;
    net_address platform;
};

class group_member : public rank_service {
  public:
    group_member(const group_position& own_position, const group_settings& options, const member_parts& used_parts);
    ~group_member() override;
    group_member(const group_member&) = delete;
    group_member& operator=(const group_member&) = delete;

    step_response serve_step(const step_call& call) override;
    std::vector<std::uint32_t> find_map(const map_id& id) override;
    bool add_map(std::uint64_t version, const std::vector<std::uint32_t>& slots) override;

    inner::switch_vote handle_prepare(const inner::switch_prepare& prepare);
    inner::switch_state handle_query(const inner::switch_query& query);
    inner::switch_state handle_decision(const inner::switch_decision& decision);
    inner::map_response handle_map(const inner::map_request& request);
    inner::step_report handle_report(const inner::step_report_request& request);

  private:
    std::optional<map_start> read_cold_start();
    void recovery_loop();
    void coordinator_loop();
    void log_outcome(coordinator_outcome outcome);
    /// @returns false when the member is stopping
    bool wait_for(std::chrono::milliseconds time);

    group_position position;
    expert_shape shape;
    member_parts parts;
    http_platform client;
    circuit_breaker breaker;
    guarded_table table;
    map_library maps;
    map_record record;
    group_directory directory;
    datagram_network network;
    map_fetcher fetcher;
    step_reports reports;
    switch_participant participant;
    switch_recovery recovery;
    lease group_lease;
    switch_coordinator switches;
    group_coordinator coordinator;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping{false};
    std::thread recovery_thread;
    std::thread coordinator_thread;
};

} // namespace pomelohoist
