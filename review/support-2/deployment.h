#pragma once

#include "channel.h"

#include "support/child_process.h"
#include "support/row_store.h"

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// The processes and files of one case.
namespace pomelohoist::review {

/// Result of a case, as its exit status.
enum class verdict : std::uint8_t { held = 0, broken = 1, not_run = 2, count };

/// @returns false when the case runs without its disruption
bool has_trouble();

/// Writes what was sent, answered and run; each line has the time since the start. Thread-safe.
class recorder {
  public:
    explicit recorder(const std::string& file) : out(file) {}
    void line(const std::string& text);

  private:
    std::mutex mutex;
    std::ofstream out;
    const steady::time_point started{steady::now()};
};

/// One entry process, started as in the deploy file.
class entry {
  public:
    entry(const std::string& folder, const std::string& name, const net_address& store);

    /// Starts the process, at first and after its end.
    /// @returns false when it is not ready in time
    bool start();
    [[nodiscard]] test_support::child_process& process() { return *this->running; }
    /// @returns true when the readiness page answers 200
    [[nodiscard]] bool is_ready() const;

    net_address http;
    net_address ready;
    net_address metrics;

  private:
    std::string folder;
    std::string settings;
    std::unique_ptr<test_support::child_process> running;
};

/// @returns a loopback address whose port is free and was not returned before
net_address free_address();
bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout);
/// @returns a new temporary folder, which is removed at the end of the process
std::string make_work_folder();

/// One route with its service, in the form of the operator's config.
std::string route_json(const std::string& prefix, const std::string& kind, const std::string& service,
                       std::uint32_t timeout_ms, std::uint32_t attempts, bool can_resume = false);
/// @returns a config with one tenant, `body_bytes` of 4 MB and the given routes and services
std::string config_json(std::uint64_t version, const std::vector<std::string>& routes,
                        const std::vector<std::string>& services);
/// Registers a server as it would itself.
void put_server(test_support::row_store& store, const std::string& id, const std::string& service,
                const net_address& address, std::uint32_t slots, const std::string& state = "ready");

/// @returns head of a request with the fields that every client sends
std::string request_head(const std::string& method, const std::string& path, const std::string& id,
                         std::uint32_t deadline_ms, const std::string& more_fields = "");

} // namespace pomelohoist::review
