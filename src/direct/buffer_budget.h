#pragma once

#include <cstddef>
#include <mutex>

/// Bound of the memory that buffered responses take in one process.
namespace pomelohoist {

/// Shared by all requests of a process. Thread-safe.
class buffer_budget {
  public:
    explicit buffer_budget(std::size_t max_bytes) : limit(max_bytes) {}
    /// @returns false when the bytes do not fit
    bool reserve(std::size_t bytes);
    void release(std::size_t bytes);

  private:
    const std::size_t limit;
    std::mutex mutex;
    std::size_t reserved{0};
};

/// The part of a budget that one response uses. Small responses need none, so that large ones cannot crowd them out.
class buffer_reservation {
  public:
    explicit buffer_reservation(buffer_budget& process_budget) : budget(process_budget) {}
    ~buffer_reservation();
    buffer_reservation(const buffer_reservation&) = delete;
    buffer_reservation& operator=(const buffer_reservation&) = delete;

    /// Reserves what a buffer of this size needs beyond the reservation so far.
    /// @returns false when the response is too large, or the budget is used up
    bool grow_to(std::size_t buffer_bytes);

  private:
    buffer_budget& budget;
    std::size_t reserved{0};
};

} // namespace pomelohoist
