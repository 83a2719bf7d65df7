#pragma once

#include "case_run.h"
#include "net.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// Stand-in for a server of an application service.
namespace review {

constexpr std::size_t kept_body_bytes = 65536;

/// A request that a server has begun to run.
struct server_run {
    std::string server;
    std::string request_id;
    std::string start_line;
    std::string body; ///< its first `kept_body_bytes`
    std::size_t body_bytes{0};

    friend bool operator==(const server_run&, const server_run&) = default;
};

/// The runs of all servers of a case.
class run_log {
  public:
    explicit run_log(record_file& written_record) : record(written_record) {}
    void add(const server_run& run);
    [[nodiscard]] std::vector<server_run> runs() const;

  private:
    mutable std::mutex mutex;
    std::vector<server_run> all;
    record_file& record;
};

struct server_options {
    std::chrono::milliseconds work{60};
    int receive_buffer_bytes{0}; ///< 0: the default
};

class app_server {
  public:
    app_server(std::string instance, const std::string& ip, run_log& shared_log, server_options chosen = {});
    [[nodiscard]] const address& local_address() const { return this->server->local_address(); }
    /// While dark, the server reads nothing and answers nothing; its connections stay open.
    void set_dark(bool is_dark) { this->dark = is_dark; }

  private:
    void serve(connection& caller);
    [[nodiscard]] std::string answer_to(const http_message& request) const;
    void wait_while_dark() const;

    const std::string id;
    run_log& log;
    const server_options options;
    std::atomic<bool> dark{false};
    std::unique_ptr<listener> server;
};

} // namespace review
