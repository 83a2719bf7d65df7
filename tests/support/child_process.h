#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Processes that a test or the demo starts, and ends by their ids.
namespace pomelohoist::test_support {

/// What a process that ran to its end left behind.
struct process_outcome {
    int exit_status{-1}; ///< negative: ended by that signal
    std::string output;  ///< standard output

    friend bool operator==(const process_outcome&, const process_outcome&) = default;
};

class child_process {
  public:
    /// Starts a program.
    /// @param program path of the binary
    /// @param error_file standard error is appended to it
    child_process(const std::string& program, const std::vector<std::string>& arguments, const std::string& error_file);
    /// Kills the process when it still runs.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Waits for the line "ready ...".
    /// @returns the rest of the line, or nothing when the process ended or the time is over
    std::optional<std::string> wait_ready(std::chrono::milliseconds timeout);

    void kill();
    void terminate();
    void freeze();
    void resume();

    /// Reads standard output until the process ends.
    /// @returns nothing when the time is over
    std::optional<process_outcome> wait(std::chrono::milliseconds timeout);

    [[nodiscard]] bool is_running();
    [[nodiscard]] pid_t id() const;

  private:
    bool read_some(std::chrono::milliseconds timeout);
    void signal(int number);
    bool reap(bool block);

    pid_t pid{-1};
    int output_pipe{-1};
    std::string output;
    std::optional<int> status;
};

/// Runs a program to its end.
std::optional<process_outcome> run_program(const std::string& program, const std::vector<std::string>& arguments,
                                           const std::string& error_file, std::chrono::milliseconds timeout);

} // namespace pomelohoist::test_support
