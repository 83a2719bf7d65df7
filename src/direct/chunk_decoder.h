#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/// Removes the chunked transfer coding of a body.
namespace pomelohoist {

/// POCO's chunked stream ends in the same way at the last chunk and at a lost connection, so it cannot tell a whole
/// body from a truncated one. This decoder can.
class chunk_decoder {
  public:
    enum class state : std::uint8_t { size, data, data_end, trailer, done, malformed, count };

    /// Takes bytes from the front of `input` and appends the decoded ones to `output`. Stops after the last chunk;
    /// what follows stays in `input`.
    void decode(std::string& input, std::string& output);
    [[nodiscard]] bool is_done() const { return this->current == state::done; }
    [[nodiscard]] bool is_malformed() const { return this->current == state::malformed; }

  private:
    /// @returns false when more input is needed
    bool step(std::string& input, std::size_t& used, std::string& output);
    bool read_size(const std::string& line);

    state current{state::size};
    std::uint64_t left{0}; ///< bytes of the present chunk
};

} // namespace pomelohoist
