#pragma once

#include "support/deployment.h"
#include "support/standin_responses.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

/// Callers that send drafts (completion requests) and bookings (service requests) while faults are injected, and the
/// checks of the responses.
namespace pomelohoist::faults {

/// One request of a caller, including its retries.
struct call_record {
    std::string id;              ///< X-Request-Id of the last send
    std::string idempotency_key; ///< empty for none
    bool full_response{false};
};

/// Totals of one schedule.
struct workload_report {
    std::uint64_t drafts{0};
    std::uint64_t complete_drafts{0}; ///< with a full response to the first send
    std::uint64_t bookings{0};
    std::uint64_t completed_bookings{0};
    std::uint64_t sends{0};
    std::uint64_t not_run_responses{0};
    std::uint64_t outcome_unknown_responses{0};
    std::vector<std::string> violations;
};

/// Settings of the callers.
struct workload_options {
    std::string workspace_key{"workspace-key"};
    std::string model{"model-a"};
    std::string service{"service-a"};
    std::uint32_t callers{6};
    std::uint64_t seed{1};
    std::uint32_t draft_tokens{12};
    bool with_bookings{true};
};

class workload {
  public:
    /// @param journals files that the stand-ins append their counts to
    workload(std::vector<net_address> entries, workload_options initial_options, std::vector<std::string> journals);
    ~workload();
    workload(const workload&) = delete;
    workload& operator=(const workload&) = delete;

    void start();
    /// Stops the callers and checks all responses against the journals of the stand-ins.
    workload_report stop();

    /// Strict mode is for tests in which all stops are graceful: every incomplete response is a violation, except for a
    /// refused connection. The callers then skip entries whose /readyz fails, as the load balancer in front of the
    /// entries does in production.
    void set_strict(bool enabled) { this->strict = enabled; }

  private:
    void caller_loop(std::uint32_t number);
    void probe_loop();
    net_address choose_entry(std::mt19937_64& random);
    void send_draft(std::mt19937_64& random, const std::string& id);
    void send_booking(std::mt19937_64& random, const std::string& id);
    test_support::http_response send_once(std::mt19937_64& random, test_support::http_request request,
                                          const std::string& id);
    void check_counts(workload_report& report) const;
    void add_violation(const std::string& text);
    void record_response(const std::string& id, const test_support::http_response& response);

    std::vector<net_address> targets;
    workload_options options;
    std::vector<std::string> journal_files;
    std::atomic<bool> stopping{false};
    std::atomic<bool> strict{false};
    std::vector<std::thread> threads;
    mutable std::mutex mutex;
    std::vector<net_address> ready_entries;
    workload_report numbers;
    std::vector<std::string> not_run_ids;    ///< sends that were reported as "not run"
    std::vector<std::string> completed_ids;  ///< sends of bookings without a key that got a successful response
    std::vector<std::string> completed_keys; ///< keys whose booking got a successful response
    std::vector<std::string> not_run_keys;   ///< keys whose last send was reported as "not run"
};

} // namespace pomelohoist::faults
