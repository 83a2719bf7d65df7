#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

/// Counters by name that a test reads back to check how often something ran.
namespace standin {

class request_counts {
  public:
    void add(const std::string& table, const std::string& name) {
        const std::lock_guard lock{this->mutex};
        ++this->tables[table][name];
    }

    /// @returns {"TABLE": {"NAME": count}}
    [[nodiscard]] nlohmann::json to_json() const {
        const std::lock_guard lock{this->mutex};
        return this->tables;
    }

  private:
    mutable std::mutex mutex;
    std::map<std::string, std::map<std::string, std::uint64_t>> tables;
};

} // namespace standin
