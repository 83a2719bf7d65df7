#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

/// Event counters by table and name, from which a test reads how often an event occurred.
namespace standin {

/// With a journal file each count is also appended to the file as a line "TABLE NAME", so that a test can read the
/// counts of a killed process.
class request_counts {
  public:
    /// @param journal_path file to append to, empty for none
    explicit request_counts(const std::string& journal_path = "") {
        constexpr int new_file_mode = 0644;
        if (!journal_path.empty()) {
            this->journal = ::open(journal_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, new_file_mode);
        }
    }
    ~request_counts() {
        if (this->journal >= 0) {
            ::close(this->journal);
        }
    }
    request_counts(const request_counts&) = delete;
    request_counts& operator=(const request_counts&) = delete;

    void add(const std::string& table, const std::string& name) {
        const std::lock_guard lock{this->mutex};
        ++this->tables[table][name];
        if (this->journal >= 0) {
            const std::string line = table + " " + name + "\n";
            // A single write call appends the complete line, so that the line is kept when the process is killed right
            // after the call.
            [[maybe_unused]] const ssize_t written = ::write(this->journal, line.data(), line.size());
        }
    }

    /// @returns {"TABLE": {"NAME": count}}
    [[nodiscard]] nlohmann::json to_json() const {
        const std::lock_guard lock{this->mutex};
        return this->tables;
    }

  private:
    mutable std::mutex mutex;
    std::map<std::string, std::map<std::string, std::uint64_t>> tables;
    int journal{-1};
};

} // namespace standin
