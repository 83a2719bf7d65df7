#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Child processes of a test or the demo.
namespace pomelohoist::test_support {

/// Exit status and output of a process that has ended.
struct process_outcome {
    int exit_status{-1}; ///< negated signal number when a signal ended the process
    std::string output;  ///< standard output

    friend bool operator==(const process_outcome&, const process_outcome&) = default;
};

class child_process {
  public:
    /// Starts a program.
    /// @param program path of the binary
    /// @param error_file file that standard error is appended to
    child_process(const std::string& program, const std::vector<std::string>& arguments, const std::string& error_file);
    /// Kills the process if it is still running.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Waits for the line "ready ...".
    /// @returns the rest of the line, or nothing when the process ends first or the timeout expires
    std::optional<std::string> wait_ready(std::chrono::milliseconds timeout);

    void kill();
    void terminate();
    void freeze();
    void resume();

    /// Reads standard output until the process ends.
    /// @returns nothing when the timeout expires
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

/// Runs a program until it ends.
/// @returns nothing when the timeout expires; the process is killed then
std::optional<process_outcome> run_program(const std::string& program, const std::vector<std::string>& arguments,
                                           const std::string& error_file, std::chrono::milliseconds timeout);

} // namespace pomelohoist::test_support
