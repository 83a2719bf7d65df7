#include "case_run.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

// Programs and templates of the deploy file, relative to the root of the repository.
constexpr const char* entry_program = "target/bin/pomelohoist-platform-entry";
constexpr const char* rank_program = "target/bin/pomelohoist-platform-rank";
constexpr const char* entry_template = "deploy/entry.ini.template";
constexpr const char* rank_template = "deploy/rank.ini.template";

std::filesystem::path make_folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return pattern;
}

bool is_trouble_wanted() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

} // namespace

record_file::record_file(const std::filesystem::path& path) : file(std::fopen(path.c_str(), "w")) {
    if (this->file == nullptr) {
        throw std::runtime_error("cannot write " + path.string());
    }
}

record_file::~record_file() {
    std::fclose(this->file);
}

void record_file::add(const std::string& line) {
    const std::lock_guard lock{this->mutex};
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - this->started;
    std::fprintf(this->file, "%8.3f %s\n", elapsed.count(), line.c_str());
    std::fflush(this->file);
}

child_process::child_process(const std::string& program, const std::filesystem::path& settings,
                             const std::filesystem::path& output) {
    this->pid = ::fork();
    if (this->pid == 0) {
        // The process ends with the case, also when that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(program.c_str(), program.c_str(), "--config", settings.c_str(), nullptr);
        ::_exit(127);
    }
}

child_process::~child_process() {
    if (this->pid > 0 && !this->is_reaped) {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
    }
}

void child_process::send_signal(int number) const {
    if (!this->is_reaped) {
        ::kill(this->pid, number);
    }
}

bool child_process::has_ended() {
    this->is_reaped = this->is_reaped || ::waitpid(this->pid, nullptr, WNOHANG) == this->pid;
    return this->is_reaped;
}

long child_process::peak_memory_kb() const {
    std::ifstream status{"/proc/" + std::to_string(this->pid) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::atol(line.c_str() + 6);
        }
    }
    return 0;
}

std::string fill_template(const std::filesystem::path& file, const std::map<std::string, std::string>& values) {
    std::ifstream source{file};
    std::string text{std::istreambuf_iterator<char>{source}, {}};
    if (text.empty()) {
        throw std::runtime_error("cannot read " + file.string());
    }
    for (const auto& [name, value] : values) {
        const std::string mark = "{{" + name + "}}";
        for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at + value.size())) {
            text.replace(at, mark.size(), value);
        }
    }
    return text;
}

deployment::deployment(const std::filesystem::path& case_folder)
    : folder(make_folder()), record(case_folder / "record.txt"), has_trouble(is_trouble_wanted()),
      // Machines of a day have one IP address each and equal ports. The process id keeps runs beside each other apart.
      store("127.0.0.1"),
      network("127." + std::to_string(20 + ::getpid() / 250 % 200) + "." + std::to_string(1 + ::getpid() % 250) + ".") {
    this->inner_port = free_address(this->network + "1").port;
}

void deployment::finish(verdict end) {
    if (end == verdict::not_run) {
        for (const auto& entry : this->entries) {
            std::ifstream log{this->folder / (entry->name + ".log")};
            for (std::string line; std::getline(log, line);) {
                this->record.add("log      " + line);
            }
        }
    }
    this->entries.clear();
    this->ranks.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
    ::_exit(static_cast<int>(end));
}

std::string deployment::next_ip() {
    return this->network + std::to_string(++this->last_host);
}

deployment::entry_process& deployment::start_entry(const address& store_address) {
    auto added = std::make_unique<entry_process>();
    added->ip = this->next_ip();
    added->name = "front-" + std::to_string(this->entries.size() + 1);
    added->front = free_address(added->ip);
    added->ready = free_address(added->ip);
    added->settings = this->folder / (added->name + ".ini");
    std::ofstream{added->settings} << fill_template(entry_template, {{"node", added->name},
                                                                     {"zone", "zone-a"},
                                                                     {"bounds.grace_s", "8"},
                                                                     {"listen.front", added->front.text()},
                                                                     {"listen.ready", added->ready.text()},
                                                                     {"ip", added->ip},
                                                                     {"port_range.0", std::to_string(this->inner_port)},
                                                                     {"bounds.retry_ratio", "0.2"},
                                                                     {"bounds.retry_slack", "188"},
                                                                     {"bounds.retry_window_s", "10"},
                                                                     {"platform.address", store_address.text()},
                                                                     {"seeds", added->ip + ":8229"}});
    this->entries.push_back(std::move(added));
    this->restart(*this->entries.back());
    return *this->entries.back();
}

deployment::rank_process& deployment::start_rank(const address& engine, const std::string& service) {
    auto added = std::make_unique<rank_process>();
    const std::string ip = this->next_ip();
    added->name = "side-" + std::to_string(this->ranks.size() + 1);
    added->settings = this->folder / (added->name + ".ini");
    std::ofstream{added->settings} << fill_template(rank_template,
                                                    {{"node", added->name},
                                                     {"zone", "zone-a"},
                                                     {"ip", ip},
                                                     {"port_range.0", std::to_string(this->inner_port)},
                                                     {"app", engine.text()},
                                                     {"service", service},
                                                     {"platform.address", this->store.local_address().text()},
                                                     {"seeds", ip + ":8229"}});
    this->ranks.push_back(std::move(added));
    this->restart(*this->ranks.back());
    return *this->ranks.back();
}

void deployment::restart(rank_process& stopped) {
    stopped.process.reset();
    stopped.process =
        std::make_unique<child_process>(rank_program, stopped.settings, this->folder / (stopped.name + ".log"));
}

void deployment::restart(entry_process& stopped) {
    stopped.process.reset();
    stopped.process =
        std::make_unique<child_process>(entry_program, stopped.settings, this->folder / (stopped.name + ".log"));
}

bool deployment::wait_ready(std::chrono::milliseconds timeout) {
    return wait_until(
        [this] {
            for (const auto& entry : this->entries) {
                const connection asked = connect_to(entry->ready, std::chrono::milliseconds{500});
                if (!asked.is_open() ||
                    !asked.send_all("GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
                    return false;
                }
                const auto page = http_reader{asked}.read(std::chrono::steady_clock::now() + std::chrono::seconds{1});
                if (!page || page->status() != 200) {
                    return false;
                }
            }
            return true;
        },
        timeout);
}

void deployment::add_server(const std::string& id, const std::string& service, const address& at, int slots) {
    const nlohmann::json beat{{"service", service}, {"address", at.text()}, {"zone", "zone-a"},
                              {"version", "v1"},    {"slots", slots},       {"state", "ready"},
                              {"cold_left_ms", 0},  {"stage", "both"},      {"models", nlohmann::json::array()},
                              {"seq", 1},           {"born", 1700000000000}};
    this->store.put("servers", id, beat.dump());
}

std::string one_route_config(const std::string& kind, int timeout_ms, int attempts) {
    const nlohmann::json route{{"name", "r-orders"}, {"host", route_host},       {"prefix", route_prefix},
                               {"kind", kind},       {"timeout_ms", timeout_ms}, {"goal_ms", 300},
                               {"priority", 2},      {"service", service_name},  {"attempts", attempts},
                               {"public", false}};
    const nlohmann::json service{
        {"name", service_name}, {"health_path", "/health"}, {"max_conns", 220}, {"protocol", "h1"}, {"tls", false}};
    const nlohmann::json tenant{{"name", tenant_name}, {"api_keys", {api_key}}, {"priority", 1}};
    return nlohmann::json{
        {"version", 7},
        {"routes", {route}},
        {"services", {service}},
        {"limits",
         {{"header_bytes", 16384}, {"body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
        {"tenants", {tenant}}}
        .dump();
}

} // namespace review
