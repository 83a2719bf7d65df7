#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>

/// Random numbers as an interface, so that tests can reproduce a run from its seed.
namespace pomelohoist {

class random_source {
  public:
    virtual ~random_source() = default;
    /// @returns 64 random bits
    virtual std::uint64_t next() = 0;
    /// @returns a number in [0, 1)
    double next_fraction();
    /// @param bound at least 1
    /// @returns a number in [0, bound)
    std::size_t next_below(std::size_t bound);
    /// @returns `2 * bytes` lower-case hexadecimal digits
    std::string next_hex(std::size_t bytes);
};

/// A Mersenne twister; safe for several threads.
class seeded_random : public random_source {
  public:
    explicit seeded_random(std::uint64_t seed) : engine(seed) {}
    std::uint64_t next() override;

  private:
    std::mutex mutex;
    std::mt19937_64 engine;
};

/// @returns a seed from the operating system
std::uint64_t system_seed();

} // namespace pomelohoist
