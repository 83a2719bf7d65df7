#pragma once

#include <cstdint>

/// How fast a model engine works, as its service declares it.
namespace pomelohoist {

/// An engine works in passes of several steps, each of which produces one token for every stream. Prompts are read
/// between the steps. The ranks of a group run each pass together, as fast as the slowest rank.
struct engine_speed {
    double step_ms{0.0};             ///< of a step without streams
    double stream_step_ms{0.0};      ///< added to each step by each stream
    double read_tokens_per_s{0.0};   ///< prompt tokens that are read in a second
    std::uint32_t chunk_tokens{0};   ///< prompt tokens that are read between two steps, at most
    std::uint32_t steps_per_pass{1}; ///< the tokens of one pass arrive together, as one event of a stream

    template <class Archive> void serialize(Archive& archive) {
        archive(this->step_ms, this->stream_step_ms, this->read_tokens_per_s, this->chunk_tokens, this->steps_per_pass);
    }
    friend bool operator==(const engine_speed&, const engine_speed&) = default;
};

} // namespace pomelohoist
