#pragma once

#include "replay/expert_trace.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

/// Synthetic expert load, reproducible from a seed.
namespace pomelohoist {

enum class trace_kind : std::uint8_t {
    slow_drift,    ///< every expert's popularity changes slowly (Memoria Austral)
    holiday_surge, ///< a few experts are several times as popular for a limited time (Kartonfeest)
    sudden_flip,   ///< the popularities of each layer are shuffled, twice
    rack_cooling,  ///< a quarter of the ranks slows down at the same time, twice; popularity is constant
    steady,        ///< popularity is constant, with sampling noise
    count
};

/// @returns the kind with this name, or nothing
std::optional<trace_kind> parse_trace_kind(std::string_view name);
std::string_view name_of(trace_kind kind);

struct generator_options {
    trace_kind kind{trace_kind::steady};
    std::uint64_t seed{1};
    std::uint32_t steps{600};
    expert_shape shape{16, 64, 4, 5};
    double tokens_per_layer{4096.0}; ///< mean tokens of one step and layer

    friend bool operator==(const generator_options&, const generator_options&) = default;
};

class trace_generator : public step_source {
  public:
    explicit trace_generator(const generator_options& trace_options);
    [[nodiscard]] const expert_shape& shape() const override { return this->options.shape; }
    result<std::optional<trace_step>> next() override;

  private:
    /// A period with a rise, a plateau and a fall.
    struct episode {
        double begin{0.0};
        double end{0.0};
        std::vector<std::size_t> members; ///< cells of a surge, or ranks of a rack
        double strength{0.0};
    };

    double uniform(double low, double high);
    double normal();
    void add_surges();
    void add_cooling();
    void drift();
    void flip();
    [[nodiscard]] std::vector<double> log_popularity() const;

    generator_options options;
    std::mt19937_64 engine;
    std::vector<double> base; ///< natural logarithm of each expert's popularity
    std::vector<episode> surges;
    std::vector<episode> coolings;
    std::vector<std::uint32_t> flips;
    std::uint32_t current_step{0};
};

} // namespace pomelohoist
