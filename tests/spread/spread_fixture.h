#pragma once

#include "declaration/declaration_file.h"
#include "declaration/example_objects.h"
#include "inner/peer_listener.h"
#include "platform/memory_table.h"
#include "spread/configuration_commit.h"
#include "spread/configuration_spreader.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Several simulated processes that propagate configurations, in one test process with real loopback sockets.
namespace pomelohoist {

class settable_hosts : public host_list {
  public:
    result<host_list_content> read_hosts() override {
        const std::lock_guard lock{this->mutex};
        if (this->down) {
            return failure{error_kind::store_unavailable, "injected fault"};
        }
        return this->content;
    }
    void set(const host_list_content& next) {
        const std::lock_guard lock{this->mutex};
        this->content = next;
    }
    void set_down(bool is_down) {
        const std::lock_guard lock{this->mutex};
        this->down = is_down;
    }

  private:
    std::mutex mutex;
    host_list_content content;
    bool down{false};
};

/// The platform that all processes share.
struct shared_platform {
    memory_table table;
    memory_objects objects;
    settable_hosts hosts;

    void set_down(bool is_down) {
        this->table.faults().set_down(is_down);
        this->objects.faults().set_down(is_down);
        this->hosts.set_down(is_down);
    }
};

/// Listener and spreader of one process.
class spread_process : public inner::datagram_handler, public inner::stream_handler {
  public:
    spread_process(shared_platform& shared, std::string process_name, std::string data_centre_name, std::uint64_t seed)
        : platform(shared), name(std::move(process_name)), data_centre(std::move(data_centre_name)), random(seed),
          listener({"127.0.0.1", 0}, this->name, this->time) {}
    ~spread_process() override { this->stop(); }
    spread_process(const spread_process&) = delete;
    spread_process& operator=(const spread_process&) = delete;

    void start(std::vector<peer> seeds) {
        this->directory = std::make_unique<fixed_peers>(std::move(seeds));
        this->spreader = std::make_unique<configuration_spreader>(
            spreader_services{this->platform.table, this->platform.objects, this->platform.hosts, *this->directory,
                              this->listener.calls(), this->time, this->random, this->log},
            spreader_identity{this->listener.local_address(), this->data_centre, this->name});
        this->listener.start(*this, *this);
        this->running = true;
        this->spreader->start();
    }
    void stop() {
        if (this->running) {
            this->running = false;
            this->spreader->stop();
            this->listener.stop();
        }
    }

    inner::payload handle_datagram(const inner::packet& request) override {
        const auto received = inner::decode_body<inner::announce>(request);
        return received ? inner::to_payload(this->spreader->handle_announce(*received))
                        : inner::to_payload(inner::failure_response{error_kind::bad_request, "unexpected"});
    }
    void handle_stream(const inner::packet& first, inner::frame_channel& channel) override {
        const auto received = inner::decode_body<inner::pull_request>(first);
        if (received) {
            channel.send(this->spreader->handle_pull(*received));
        }
    }

    [[nodiscard]] peer as_peer() const { return {this->listener.local_address(), this->data_centre}; }
    [[nodiscard]] configuration_spreader& source() { return *this->spreader; }
    [[nodiscard]] std::uint64_t version() const { return this->spreader->current()->version(); }

  private:
    shared_platform& platform;
    std::string name;
    std::string data_centre;
    system_clock time;
    seeded_random random;
    structured_log log{make_null_log()};
    inner::peer_listener listener;
    std::unique_ptr<fixed_peers> directory;
    std::unique_ptr<configuration_spreader> spreader;
    bool running{false};
};

using process_list = std::vector<std::unique_ptr<spread_process>>;

/// @returns processes that are not started yet, alternating between three data centres
inline process_list make_processes(shared_platform& platform, std::size_t number, std::uint64_t seed) {
    process_list processes;
    processes.reserve(number);
    for (std::size_t i = 0; i < number; ++i) {
        processes.push_back(std::make_unique<spread_process>(platform, "process-" + std::to_string(i),
                                                             "centro-" + std::to_string(i % 3 + 1), seed + i));
    }
    return processes;
}

/// @returns declarations with one endpoint per process, since processes find agents through declared endpoints
inline object_map make_objects(const process_list& processes, std::size_t workspaces) {
    object_map objects = make_example_objects(workspaces, 0);
    for (std::size_t i = 0; i < processes.size(); ++i) {
        const peer own = processes[i]->as_peer();
        objects[{object_kind::endpoint, "endpoint-" + std::to_string(i)}].values = {
            {"kind", "service"},
            {"agent", own.inner.to_string()},
            {"data_centre", own.data_centre},
            {"host", "host-" + std::to_string(i)},
            {"serves", "mesa-citas"}};
    }
    return objects;
}

inline configuration_change make_change(std::string id, const object_map& target_objects) {
    return {std::move(id), diff_objects({}, target_objects, false)};
}

/// @returns a change of one label of a workspace
inline configuration_change make_relabel(std::string id, const std::string& workspace_name, const std::string& label,
                                         std::optional<std::string> expected, std::string value) {
    return {std::move(id),
            {{{object_kind::workspace, workspace_name}, "label." + label, std::move(expected), std::move(value)}}};
}

/// @returns true when the condition becomes true before the timeout
inline bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{2});
    }
    return true;
}

} // namespace pomelohoist
