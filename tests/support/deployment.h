#pragma once

#include "support/child_process.h"
#include "support/http_client.h"
#include "support/relay.h"

#include <pomelohoist/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

/// A deployment of separate processes: platform, entries, agents, endpoints.
namespace pomelohoist::test_support {

/// How one endpoint and its agent are started.
struct endpoint_options {
    std::string name;
    std::string kind{"model"}; ///< model or service
    std::string serves;
    std::string group;
    std::uint32_t rank{0};
    std::string data_centre{"dc-1"};
    std::string host;   ///< empty: same as the name
    std::string labels; ///< lines "label.KEY = VALUE"
    std::vector<std::string> standin_arguments;
    std::uint32_t slots{8};        ///< concurrent requests, as set for the agent and a model engine
    std::string standin_program{}; ///< empty: the stand-in of the kind
    std::string group_settings{};  ///< further keys of [group] and further sections; empty: the agent serves no group

    friend bool operator==(const endpoint_options&, const endpoint_options&) = default;
};

/// One running program with its addresses.
struct running_program {
    std::string name;
    std::unique_ptr<child_process> process;
    net_address inner;
    net_address http;
    net_address step; ///< address at which an agent that serves a rank accepts the rank's step requests; unset for
                      ///< other programs
};

/// An endpoint stand-in and its agent.
struct running_endpoint {
    endpoint_options options;
    running_program standin;
    running_program agent;
    std::unique_ptr<relay>
        agent_relay; ///< relay between the other processes and the agent; null when the agent has no relay
};

/// @attention throws std::runtime_error when a program does not start
class deployment {
  public:
    /// @param binaries folder of the programs
    /// @param work folder for settings and logs; created when missing
    deployment(std::string binaries, std::string work);

    running_program& start_platform(const std::vector<std::string>& arguments = {});
    running_program& start_entry(const std::string& name, const std::string& data_centre = "dc-1");
    running_endpoint& start_endpoint(const endpoint_options& options);
    /// Adds a relay in front of the agent; declarations that are written later hold the address of the relay.
    void add_relay(running_endpoint& endpoint);
    /// Restarts the agent of an endpoint with the same inner address.
    void restart_agent(running_endpoint& endpoint);
    /// Restarts an entry with the same HTTP address.
    void restart_entry(running_program& entry);
    /// @returns the file that the stand-in of the endpoint appends its counts to
    [[nodiscard]] std::string journal_of(const running_endpoint& endpoint) const;
    /// Restarts the stand-in of an endpoint with the same address.
    void restart_standin(running_endpoint& endpoint);

    /// @returns the declarations of all started endpoints
    [[nodiscard]] std::string endpoint_declarations() const;

    /// Runs the program `pomelohoist` with the platform's address.
    process_outcome operate(std::vector<std::string> arguments);
    /// Writes the declarations to a file and runs `pomelohoist apply --wait`.
    process_outcome apply(const std::string& declarations);

    [[nodiscard]] running_program& platform();
    [[nodiscard]] std::vector<running_program>& entries();
    [[nodiscard]] std::vector<std::unique_ptr<running_endpoint>>& endpoints();
    [[nodiscard]] const std::string& work_folder() const;

    /// Sends SIGTERM to all programs and waits.
    /// @returns names of the programs that did not exit with status 0
    std::vector<std::string> stop_all();

  private:
    std::unique_ptr<child_process> start(const std::string& binary, const std::string& name,
                                         const std::vector<std::string>& arguments, running_program& program);
    std::string write_file(const std::string& name, const std::string& content);
    std::string entry_settings(const std::string& name, const net_address& http);
    void start_agent(running_endpoint& endpoint, const std::string& inner_address);
    [[nodiscard]] std::string seed_addresses() const;

    std::string binary_folder;
    std::string folder;
    std::string any_port; ///< "IP:0" with the loopback address of this deployment
    running_program platform_program;
    std::vector<running_program> entry_programs;
    std::vector<std::unique_ptr<running_endpoint>> endpoint_programs;
    std::map<std::string, std::string> entry_data_centres;
    int applied_files{0};
};

} // namespace pomelohoist::test_support
