#include "support/deployment.h"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <unistd.h>

namespace pomelohoist::test_support {

namespace {

using namespace std::chrono_literals;

// The start of a program takes about 10 ms; the timeout leaves room for a heavily loaded machine.
constexpr auto start_timeout = 20s;
constexpr auto command_timeout = 40s;
constexpr auto stop_timeout = 30s;

/// @returns a loopback address that no other deployment uses, so that no other process can bind the port of a process
/// that is down
std::string unused_loopback_ip() {
    static std::atomic<unsigned> deployments{0};
    constexpr unsigned byte_values = 256;
    constexpr unsigned first_second_byte = 1;
    const auto process = static_cast<unsigned>(getpid());
    const unsigned second = first_second_byte + process / byte_values % (byte_values - 2);
    const unsigned last = 1 + deployments++ % (byte_values - 2);
    return "127." + std::to_string(second) + "." + std::to_string(process % byte_values) + "." + std::to_string(last);
}

/// Reads "inner=IP:PORT http=IP:PORT step=IP:PORT".
void read_addresses(const std::string& line, running_program& program) {
    std::istringstream fields{line};
    std::string word;
    while (fields >> word) {
        const auto equals = word.find('=');
        const auto address = net_address::parse(word.substr(equals + 1));
        if (equals == std::string::npos || !address) {
            continue;
        }
        // A restarted program keeps its address. Other threads may read it at the same time, so it is written only when
        // it differs.
        const std::string purpose = word.substr(0, equals);
        net_address& target = purpose == "http" ? program.http : purpose == "step" ? program.step : program.inner;
        if (target != *address) {
            target = *address;
        }
    }
}

} // namespace

deployment::deployment(std::string binaries, std::string work)
    : binary_folder(std::move(binaries)), folder(std::move(work)), any_port(unused_loopback_ip() + ":0") {
    std::filesystem::create_directories(this->folder);
}

std::unique_ptr<child_process> deployment::start(const std::string& binary, const std::string& name,
                                                 const std::vector<std::string>& arguments, running_program& program) {
    auto child = std::make_unique<child_process>(this->binary_folder + "/" + binary, arguments,
                                                 this->folder + "/" + name + ".log");
    const auto ready = child->wait_ready(start_timeout);
    if (!ready) {
        throw std::runtime_error(name + " did not start, see " + this->folder + "/" + name + ".log");
    }
    read_addresses(*ready, program);
    program.name = name;
    return child;
}

running_program& deployment::start_platform(const std::vector<std::string>& arguments) {
    std::vector<std::string> command_line = arguments;
    command_line.insert(command_line.begin(), {"--listen", this->any_port});
    this->platform_program.process = this->start("standin-platform", "platform", command_line, this->platform_program);
    return this->platform_program;
}

std::string deployment::entry_settings(const std::string& name, const net_address& http) {
    std::ostringstream text;
    text << "[process]\nname = " << name << "\ndata_centre = " << this->entry_data_centres[name] << "\nhost = " << name
         << "\n[http]\naddress = " << http.to_string() << "\n[inner]\naddress = " << this->any_port << "\n"
         << "[platform]\naddress = " << this->platform_program.http.to_string() << "\n"
         << "[peers]\nseeds = " << this->seed_addresses() << "\n"
         << "[log]\nformat = json\n[trace]\nfile = " << this->folder << "/" << name << ".spans.json\n";
    return this->write_file(name + ".ini", text.str());
}

running_program& deployment::start_entry(const std::string& name, const std::string& data_centre) {
    this->entry_data_centres[name] = data_centre;
    const std::string settings = this->entry_settings(name, *net_address::parse(this->any_port));
    running_program& entry = this->entry_programs.emplace_back();
    entry.process = this->start("pomelohoist-entry", name, {"--config", settings}, entry);
    return entry;
}

running_endpoint& deployment::start_endpoint(const endpoint_options& options) {
    auto endpoint = std::make_unique<running_endpoint>();
    endpoint->options = options;
    if (endpoint->options.host.empty()) {
        endpoint->options.host = options.name;
    }
    endpoint->standin.http = *net_address::parse(this->any_port);
    this->restart_standin(*endpoint);
    this->start_agent(*endpoint, this->any_port);
    this->endpoint_programs.push_back(std::move(endpoint));
    return *this->endpoint_programs.back();
}

void deployment::restart_standin(running_endpoint& endpoint) {
    std::vector<std::string> command_line = endpoint.options.standin_arguments;
    command_line.insert(command_line.begin(), {"--listen", endpoint.standin.http.to_string()});
    if (endpoint.options.kind == "model" && endpoint.options.standin_program.empty()) {
        command_line.insert(command_line.end(), {"--slots", std::to_string(endpoint.options.slots)});
    }
    command_line.insert(command_line.end(), {"--journal", this->journal_of(endpoint)});
    endpoint.standin.process.reset();
    const std::string of_kind = endpoint.options.kind == "model" ? "standin-engine" : "standin-service";
    const std::string binary = endpoint.options.standin_program.empty() ? of_kind : endpoint.options.standin_program;
    endpoint.standin.process = this->start(binary, endpoint.options.name + "-standin", command_line, endpoint.standin);
}

std::string deployment::journal_of(const running_endpoint& endpoint) const {
    return this->folder + "/" + endpoint.options.name + ".journal";
}

void deployment::restart_entry(running_program& entry) {
    const net_address http = entry.http;
    const std::string name = entry.name;
    entry.process.reset();
    entry.process = this->start("pomelohoist-entry", name, {"--config", this->entry_settings(name, http)}, entry);
}

void deployment::add_relay(running_endpoint& endpoint) {
    endpoint.agent_relay = std::make_unique<relay>(endpoint.agent.inner.ip, endpoint.agent.inner);
}

void deployment::restart_agent(running_endpoint& endpoint) {
    endpoint.agent.process.reset();
    this->start_agent(endpoint, endpoint.agent.inner.to_string());
}

void deployment::start_agent(running_endpoint& endpoint, const std::string& inner_address) {
    const endpoint_options& options = endpoint.options;
    const std::string name = options.name + "-agent";
    std::ostringstream text;
    text << "[process]\nname = " << name << "\ndata_centre = " << options.data_centre << "\nhost = " << options.host
         << "\n[inner]\naddress = " << inner_address << "\n"
         << "[endpoint]\nname = " << options.name << "\nkind = " << options.kind
         << "\naddress = " << endpoint.standin.http.to_string() << "\nslots = " << options.slots << "\n"
         << "[platform]\naddress = " << this->platform_program.http.to_string() << "\n"
         << "[peers]\nseeds = " << this->seed_addresses() << "\n"
         << "[log]\nformat = json\n[trace]\nfile = " << this->folder << "/" << name << ".spans.json\n";
    if (!options.group_settings.empty()) {
        // A restarted agent must serve its rank at the same address.
        const net_address& step_address = endpoint.agent.step;
        text << "[group]\nstep_address = " << (step_address.port == 0 ? this->any_port : step_address.to_string())
             << "\n"
             << options.group_settings;
    }
    const std::string settings = this->write_file(name + ".ini", text.str());
    endpoint.agent.process = this->start("pomelohoist-agent", name, {"--config", settings}, endpoint.agent);
}

std::string deployment::seed_addresses() const {
    std::string seeds;
    for (const auto& endpoint : this->endpoint_programs) {
        seeds += (seeds.empty() ? "" : ",") + endpoint->agent.inner.to_string();
    }
    return seeds;
}

std::string deployment::endpoint_declarations() const {
    std::ostringstream text;
    for (const auto& endpoint : this->endpoint_programs) {
        const endpoint_options& options = endpoint->options;
        text << "[endpoint." << options.name << "]\nkind = " << options.kind << "\nagent = "
             << (endpoint->agent_relay ? endpoint->agent_relay->address() : endpoint->agent.inner).to_string()
             << "\ndata_centre = " << options.data_centre << "\nhost = " << options.host
             << "\nserves = " << options.serves << "\n";
        if (!options.group.empty()) {
            text << "group = " << options.group << "\nrank = " << options.rank << "\n";
        }
        text << options.labels << "\n";
    }
    return text.str();
}

process_outcome deployment::operate(std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), {"--platform", this->platform_program.http.to_string()});
    const auto outcome =
        run_program(this->binary_folder + "/pomelohoist", arguments, this->folder + "/operator.log", command_timeout);
    return outcome.value_or(process_outcome{});
}

process_outcome deployment::apply(const std::string& declarations) {
    const std::string name = "declarations-" + std::to_string(++this->applied_files) + ".ini";
    return this->operate({"apply", this->write_file(name, declarations), "--wait"});
}

running_program& deployment::platform() {
    return this->platform_program;
}

std::vector<running_program>& deployment::entries() {
    return this->entry_programs;
}

std::vector<std::unique_ptr<running_endpoint>>& deployment::endpoints() {
    return this->endpoint_programs;
}

const std::string& deployment::work_folder() const {
    return this->folder;
}

std::string deployment::write_file(const std::string& name, const std::string& content) {
    std::string path = this->folder + "/" + name;
    std::ofstream{path} << content;
    return path;
}

std::vector<std::string> deployment::stop_all() {
    std::vector<std::string> failed;
    const auto stop = [&failed](running_program& program) {
        if (!program.process) {
            return;
        }
        program.process->terminate();
        const auto outcome = program.process->wait(stop_timeout);
        if (!outcome || outcome->exit_status != 0) {
            failed.push_back(program.name);
        }
        program.process.reset();
    };
    for (running_program& entry : this->entry_programs) {
        stop(entry);
    }
    for (const auto& endpoint : this->endpoint_programs) {
        stop(endpoint->agent);
    }
    for (const auto& endpoint : this->endpoint_programs) {
        stop(endpoint->standin);
    }
    stop(this->platform_program);
    return failed;
}

} // namespace pomelohoist::test_support
