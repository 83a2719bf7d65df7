#pragma once

#include "platform/object_store.h"
#include "platform/table_service.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

/// In-memory services of the platform with injected faults, for tests. Safe for several threads.
namespace pomelohoist {

/// Faults injected into one in-memory service.
class injected_faults {
  public:
    /// Every call fails and has no effect.
    void set_down(bool is_down) { this->down = is_down; }
    /// Every call waits for this time before it is served or fails.
    void set_delay(std::chrono::milliseconds time) { this->delay = time; }
    /// The next `number` writes take effect but are reported as failed.
    void lose_responses(std::uint32_t number) { this->lost_responses = number; }
    /// The next `number` reads fail.
    void fail_reads(std::uint32_t number) { this->failing_reads = number; }

    /// Waits for the delay.
    /// @returns true when the call must fail without an effect
    bool delay_and_check_failure(bool is_read);
    /// @returns true when the response of the current write must be lost
    bool loses_response();

  private:
    std::atomic<bool> down{false};
    std::atomic<std::chrono::milliseconds> delay{std::chrono::milliseconds{0}};
    std::atomic<std::uint32_t> lost_responses{0};
    std::atomic<std::uint32_t> failing_reads{0};
};

/// Table service whose rows are kept in memory.
class memory_table : public table_service {
  public:
    result<std::optional<table_row>> get(const std::string& key) override;
    result<std::vector<table_row>> list(const std::string& prefix) override;
    result<transaction_outcome> commit(const table_transaction& transaction) override;

    [[nodiscard]] injected_faults& faults() { return this->injected; }
    /// @param hook runs before each commit without a lock held, so that a test can commit another write first
    void set_before_commit(std::function<void()> hook);
    /// State of the table, for `restore`.
    struct content {
        std::map<std::string, table_row> rows;
        std::uint64_t revision{1};

        friend bool operator==(const content&, const content&) = default;
    };
    [[nodiscard]] content copy();
    /// Loses everything that was written since the copy; revisions are given out again.
    void restore(const content& older);

    [[nodiscard]] std::uint64_t reads() const { return this->read_count; }
    [[nodiscard]] std::uint64_t commits() const { return this->commit_count; }

  private:
    std::mutex mutex;
    std::map<std::string, table_row> rows;
    std::uint64_t revision{1};
    injected_faults injected;
    std::function<void()> before_commit;
    std::atomic<std::uint64_t> read_count{0};
    std::atomic<std::uint64_t> commit_count{0};
};

/// Object store whose objects are kept in memory.
class memory_objects : public object_store {
  public:
    result<std::optional<std::string>> get_object(const std::string& name) override;
    result<done> put_object(const std::string& name, const std::string& content) override;

    [[nodiscard]] injected_faults& faults() { return this->injected; }
    [[nodiscard]] std::size_t size();

  private:
    std::mutex mutex;
    std::map<std::string, std::string> objects;
    injected_faults injected;
};

} // namespace pomelohoist
