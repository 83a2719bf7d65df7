#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/// Decodes the chunked transfer coding of a body.
namespace pomelohoist {

/// Distinguishes a complete body from a truncated one. POCO's chunked stream cannot distinguish them: the stream ends
/// in the same way at the last chunk and at a lost connection.
class chunk_decoder {
  public:
    enum class state : std::uint8_t { size, data, data_end, trailer, done, malformed, count };

    /// Removes coded bytes from the front of `input` and appends the decoded bytes to `output`. Stops after the last
    /// chunk and its trailer; the bytes after them stay in `input`.
    void decode(std::string& input, std::string& output);
    [[nodiscard]] bool is_done() const { return this->current == state::done; }
    [[nodiscard]] bool is_malformed() const { return this->current == state::malformed; }

  private:
    /// Decodes one line, or the part of the chunk's data that has arrived.
    /// @returns false when more input is needed or the coding is malformed
    bool step(std::string& input, std::size_t& used, std::string& output);
    bool read_size(const std::string& line);

    state current{state::size};
    std::size_t trailer_bytes{0};
    std::size_t extension_bytes{0}; ///< of all size lines
    std::uint64_t remaining{0};     ///< bytes of the current chunk that are not decoded yet
};

} // namespace pomelohoist
