#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

/// Finds the end of a head in bytes as they arrive.
namespace pomelohoist {

/// Lines end with CR LF. Any other control character but a tab is refused as soon as it arrives, since bytes that are
/// no message may come without end.
class head_scanner {
  public:
    enum class state : std::uint8_t { incomplete, complete, malformed, count };

    /// @param received from the beginning of the head on; only what is new since the last call is read
    state scan(std::string_view received);
    /// @returns the length of the head with its blank line, once it is complete
    [[nodiscard]] std::size_t length() const { return this->position; }

  private:
    std::size_t position{0}; ///< of the first character that is not read
    std::size_t line_begin{0};
};

} // namespace pomelohoist
