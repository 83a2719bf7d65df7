#include "support/child_process.h"

#include "support/program_logs.h"

#include <array>
#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT(readability-identifier-naming)

namespace pomelohoist::test_support {

namespace {

constexpr std::size_t read_bytes = 4096;
constexpr int new_file_mode = 0644;

using steady = std::chrono::steady_clock;

std::chrono::milliseconds time_left(steady::time_point until) {
    return std::max(std::chrono::milliseconds{0},
                    std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()));
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& error_file) {
    add_program_log(error_file);
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe for " + program);
    }
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, error_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     new_file_mode);
    // A socket that the child inherits would stay open after the test has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (std::string& word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    const int failed = posix_spawn(&this->pid, program.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    this->output_pipe = ends[0];
    if (failed != 0) {
        ::close(this->output_pipe);
        throw std::runtime_error("cannot start " + program);
    }
}

child_process::~child_process() {
    if (!this->reap(false)) {
        this->signal(SIGKILL);
        this->reap(true);
    }
    ::close(this->output_pipe);
}

std::optional<std::string> child_process::wait_ready(std::chrono::milliseconds timeout) {
    const std::string mark = "ready ";
    const auto until = steady::now() + timeout;
    while (true) {
        const auto begin = this->output.rfind(mark, 0) == 0 ? 0 : this->output.find("\n" + mark);
        if (begin != std::string::npos) {
            const auto content = this->output.find(mark, begin) + mark.size();
            const auto end = this->output.find('\n', content);
            if (end != std::string::npos) {
                return this->output.substr(content, end - content);
            }
        }
        const auto left = time_left(until);
        if (left.count() == 0 || !this->read_some(left)) {
            return std::nullopt;
        }
    }
}

void child_process::kill() {
    this->signal(SIGKILL);
    this->reap(true);
}

void child_process::terminate() {
    this->signal(SIGTERM);
}

void child_process::freeze() {
    this->signal(SIGSTOP);
}

void child_process::resume() {
    this->signal(SIGCONT);
}

std::optional<process_outcome> child_process::wait(std::chrono::milliseconds timeout) {
    const auto until = steady::now() + timeout;
    while (this->read_some(time_left(until))) {
        if (time_left(until).count() == 0) {
            return std::nullopt;
        }
    }
    while (!this->reap(false)) {
        if (time_left(until).count() == 0) {
            return std::nullopt;
        }
        poll(nullptr, 0, 1);
    }
    return process_outcome{*this->status, this->output};
}

bool child_process::is_running() {
    return !this->reap(false);
}

pid_t child_process::id() const {
    return this->pid;
}

bool child_process::read_some(std::chrono::milliseconds timeout) {
    pollfd waiting{this->output_pipe, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0) {
        return timeout.count() > 0;
    }
    std::array<char, read_bytes> buffer{};
    const ssize_t length = ::read(this->output_pipe, buffer.data(), buffer.size());
    if (length <= 0) {
        return false;
    }
    this->output.append(buffer.data(), static_cast<std::size_t>(length));
    return true;
}

void child_process::signal(int number) {
    if (!this->status) {
        ::kill(this->pid, number);
    }
}

bool child_process::reap(bool block) {
    if (this->status) {
        return true;
    }
    int raw = 0;
    if (waitpid(this->pid, &raw, block ? 0 : WNOHANG) != this->pid) {
        return false;
    }
    this->status = WIFEXITED(raw) ? WEXITSTATUS(raw) : -WTERMSIG(raw);
    return true;
}

std::optional<process_outcome> run_program(const std::string& program, const std::vector<std::string>& arguments,
                                           const std::string& error_file, std::chrono::milliseconds timeout) {
    child_process child{program, arguments, error_file};
    return child.wait(timeout);
}

} // namespace pomelohoist::test_support
