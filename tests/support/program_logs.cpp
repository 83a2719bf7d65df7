#include "support/program_logs.h"

#include <algorithm>
#include <deque>
#include <fstream>
#include <mutex>

namespace pomelohoist::test_support {

namespace {

struct known_logs {
    std::mutex mutex;
    std::vector<std::string> files;
};

known_logs& logs() {
    static known_logs all;
    return all;
}

} // namespace

void add_program_log(const std::string& file) {
    const std::lock_guard lock{logs().mutex};
    std::vector<std::string>& files = logs().files;
    if (std::find(files.begin(), files.end(), file) == files.end()) {
        files.push_back(file);
    }
}

void forget_program_logs() {
    const std::lock_guard lock{logs().mutex};
    logs().files.clear();
}

std::vector<std::string> program_logs() {
    const std::lock_guard lock{logs().mutex};
    return logs().files;
}

std::string quote_log_end(const std::string& file, std::size_t max_lines) {
    std::deque<std::string> last;
    std::ifstream log{file};
    for (std::string line; std::getline(log, line);) {
        last.push_back(std::move(line));
        if (last.size() > max_lines) {
            last.pop_front();
        }
    }
    std::string quoted = "end of the log " + file + ":\n";
    for (const std::string& line : last) {
        quoted.append("    ").append(line).append("\n");
    }
    return quoted;
}

} // namespace pomelohoist::test_support
