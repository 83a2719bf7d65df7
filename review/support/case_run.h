#pragma once

#include "net.h"
#include "row_store.h"

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

/// One run of a case: its record, its temporary folder and the processes that it starts.
namespace review {

/// Exit status of a case.
enum class verdict : int { held = 0, broken = 1, not_run = 2 };

/// Writes `record.txt`; one line for each thing that was sent, answered or run.
class record_file {
  public:
    explicit record_file(const std::filesystem::path& file);
    ~record_file();
    record_file(const record_file&) = delete;
    record_file& operator=(const record_file&) = delete;
    void add(const std::string& line);

  private:
    std::mutex mutex;
    std::FILE* file{nullptr};
    steady_time started{std::chrono::steady_clock::now()};
};

/// A program of the project as a process; killed at the end of its life.
class child_process {
  public:
    child_process(const std::string& program, const std::filesystem::path& settings,
                  const std::filesystem::path& output);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    void send_signal(int number) const;
    /// @returns true when the process has ended
    bool has_ended();
    [[nodiscard]] pid_t id() const { return this->pid; }
    /// @returns largest resident memory so far in kilobytes, or 0
    [[nodiscard]] long peak_memory_kb() const;

  private:
    pid_t pid{-1};
    bool is_reaped{false};
};

/// Fills in the `{{NAME}}` placeholders of a settings template of the deploy folder.
std::string fill_template(const std::filesystem::path& file, const std::map<std::string, std::string>& values);

/// @returns true when the condition holds within the time
template <class Condition> bool wait_until(Condition condition, std::chrono::milliseconds timeout) {
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return true;
}

/// A small deployment on loopback addresses.
class deployment {
  public:
    /// @param case_folder folder of the case; the record goes there
    explicit deployment(const std::filesystem::path& case_folder);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    struct entry_process {
        std::string name;
        std::string ip;
        address front;
        address ready;
        std::filesystem::path settings;
        std::unique_ptr<child_process> process;
    };
    struct rank_process {
        std::string name;
        std::filesystem::path settings;
        std::unique_ptr<child_process> process;
    };

    /// @returns the IP address of a new machine
    std::string next_ip();
    /// @param store_address address of the store, or of a proxy in front of it
    entry_process& start_entry(const address& store_address);
    rank_process& start_rank(const address& engine, const std::string& service);
    void restart(rank_process& stopped);
    void restart(entry_process& stopped);
    /// @returns true when the readiness page of each entry answers 200 in time
    bool wait_ready(std::chrono::milliseconds timeout);
    /// Ends all processes and this program; the threads of the stand-ins may still run.
    [[noreturn]] void finish(verdict end);
    /// Registers a server in the store.
    void add_server(const std::string& id, const std::string& service, const address& at, int slots);

    std::filesystem::path folder;
    record_file record;
    bool has_trouble; ///< false when the environment has TROUBLE=0
    row_store store;
    std::vector<std::unique_ptr<entry_process>> entries;
    std::vector<std::unique_ptr<rank_process>> ranks;

  private:
    std::uint16_t inner_port{0};
    std::uint8_t last_host{10};
    std::string network;
};

/// @returns the configuration with one route to one service, and one tenant
std::string one_route_config(const std::string& kind, int timeout_ms, int attempts);

constexpr const char* route_host = "desk.example";
constexpr const char* route_prefix = "/orders/";
constexpr const char* service_name = "workshop-app";
constexpr const char* api_key = "n2ctnfzs989anu6wsjnb";
constexpr const char* tenant_name = "hule930";

} // namespace review
