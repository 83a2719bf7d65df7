#include "deployment.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <set>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pomelohoist::review {

using namespace std::chrono_literals;

bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

void recorder::line(const std::string& text) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - this->started).count();
    const std::lock_guard lock{this->mutex};
    this->out << age << " ms " << text << std::endl;
}

net_address free_address() {
    static std::set<std::uint16_t> used;
    while (true) {
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        static_cast<void>(::bind(probe, reinterpret_cast<sockaddr*>(&address), size));
        ::getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
        ::close(probe);
        if (used.insert(ntohs(address.sin_port)).second) {
            return {"127.0.0.1", ntohs(address.sin_port)};
        }
    }
}

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
    const steady::time_point until = steady::now() + timeout;
    while (!condition()) {
        if (steady::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

std::string make_work_folder() {
    static std::string folder = [] {
        std::string pattern = (std::filesystem::temp_directory_path() / "pomelohoist-case-XXXXXX").string();
        return std::string{::mkdtemp(pattern.data())};
    }();
    std::atexit([] { std::filesystem::remove_all(folder); });
    return folder;
}

entry::entry(const std::string& work_folder, const std::string& name, const net_address& store)
    : http(free_address()), ready(free_address()), metrics(free_address()), folder(work_folder + "/" + name) {
    std::filesystem::create_directories(this->folder);
    this->settings = this->folder + "/node.ini";
    // As deploy/entry.ini.template is filled in for a small deployment.
    std::ofstream{this->settings} << "[process]\nname=" << name << "\ndata_centre=zone-a\ngrace_ms=8000\n"
                                  << "[log]\nformat=json\noutput=stdout\n[http]\naddress=" << this->http.to_string()
                                  << "\nready_address=" << this->ready.to_string()
                                  << "\nmetrics_address=" << this->metrics.to_string()
                                  << "\n[inner]\naddress=" << free_address().to_string()
                                  << "\n[retries]\nratio=0.2\nslack=188\nwindow_ms=10000\n"
                                  << "[platform]\naddress=" << store.to_string() << "\ncontrol_seeds=\n";
}

bool entry::start() {
    this->running.reset();
    this->running = std::make_unique<test_support::child_process>("target/bin/pomelohoist-platform-entry",
                                                                  std::vector<std::string>{"--config", this->settings},
                                                                  this->folder + "/stderr");
    return wait_until([this] { return this->is_ready(); }, 10s);
}

bool entry::is_ready() const {
    std::optional<channel> page = channel::connect(this->ready, 1s);
    if (!page || !page->send("GET /-/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    read_end end = read_end::bytes;
    const std::optional<message> response = read_message(*page, steady::now() + 1s, end);
    return response && response->status() == 200;
}

std::string route_json(const std::string& prefix, const std::string& kind, const std::string& service,
                       std::uint32_t timeout_ms, std::uint32_t attempts, bool can_resume) {
    nlohmann::json route{{"name", "r" + prefix.substr(1, prefix.size() - 2)},
                         {"host", "desk.example"},
                         {"prefix", prefix},
                         {"kind", kind},
                         {"timeout_ms", timeout_ms},
                         {"goal_ms", 400},
                         {"priority", 1},
                         {"service", service},
                         {"attempts", attempts},
                         {"public", false}};
    if (kind == "streaming") {
        route["sticky"] = true;
        route["can_resume"] = can_resume;
        route["gap_target_ms"] = 120;
    }
    return route.dump();
}

std::string config_json(std::uint64_t version, const std::vector<std::string>& routes,
                        const std::vector<std::string>& services) {
    using nlohmann::json;
    json config{{"version", version}, {"routes", json::array()}, {"services", json::array()}};
    for (const std::string& route : routes) {
        config["routes"].push_back(json::parse(route));
    }
    for (const std::string& service : services) {
        config["services"].push_back(
            {{"name", service}, {"health_path", "/health"}, {"max_conns", 836}, {"protocol", "h1"}, {"tls", false}});
    }
    // The limits are those of the example that `fleetbench wire` prints.
    config["limits"] = {
        {"header_bytes", 16384}, {"body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    config["tenants"] =
        json::array({json{{"name", "tenant-1"}, {"api_keys", json::array({"key-1"})}, {"priority", 1}}});
    return config.dump();
}

void put_server(test_support::row_store& store, const std::string& id, const std::string& service,
                const net_address& address, std::uint32_t slots, const std::string& state) {
    static std::mutex mutex;
    static std::map<std::string, std::uint64_t> beats;
    std::uint64_t beat = 0;
    {
        const std::lock_guard lock{mutex};
        beat = ++beats[id];
    }
    const nlohmann::json row{{"service", service}, {"address", address.to_string()},
                             {"zone", "zone-a"},   {"version", "v1"},
                             {"slots", slots},     {"state", state},
                             {"cold_left_ms", 0},  {"seq", beat}};
    store.put("servers", id, row.dump());
}

std::string request_head(const std::string& method, const std::string& path, const std::string& id,
                         std::uint32_t deadline_ms, const std::string& more_fields) {
    return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Pomelohoist-Attempt-Id: " + id +
           "\r\nX-Pomelohoist-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nX-Api-Key: key-1\r\n" + more_fields +
           "\r\n";
}

} // namespace pomelohoist::review
