#include "http/chunk_decoder.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <charconv>

namespace pomelohoist {

namespace {

constexpr std::size_t max_line_bytes = 4096;
constexpr int hexadecimal = 16;
constexpr std::size_t max_size_digits = 16;

} // namespace

void chunk_decoder::decode(std::string& input, std::string& output) {
    std::size_t used = 0;
    while (this->current != state::done && this->current != state::malformed && this->step(input, used, output)) {
    }
    input.erase(0, used);
}

bool chunk_decoder::step(std::string& input, std::size_t& used, std::string& output) {
    if (this->current == state::data) {
        const std::size_t count = std::min<std::size_t>(this->remaining, input.size() - used);
        output.append(input, used, count);
        used += count;
        this->remaining -= count;
        if (this->remaining > 0) {
            return false;
        }
        this->current = state::data_end;
        return true;
    }
    const std::size_t end = input.find("\r\n", used);
    if (end == std::string::npos) {
        if (input.size() - used > max_line_bytes) {
            this->current = state::malformed;
        }
        return false;
    }
    const std::string line = input.substr(used, end - used);
    used = end + 2;
    if (this->current == state::size) {
        return this->read_size(line);
    }
    if (this->current == state::data_end) {
        this->current = line.empty() ? state::size : state::malformed;
        return true;
    }
    // Trailer fields are dropped; an empty line ends them.
    this->trailer_bytes += line.size();
    if (line.empty()) {
        this->current = state::done;
    } else if (this->trailer_bytes > config::max_trailer_bytes) {
        this->current = state::malformed;
    }
    return true;
}

bool chunk_decoder::read_size(const std::string& line) {
    this->extension_bytes += line.size() - std::min(line.size(), max_size_digits);
    if (this->extension_bytes > config::max_chunk_extension_bytes) {
        this->current = state::malformed;
        return false;
    }
    const std::string digits = line.substr(0, line.find_first_of("; \t"));
    const char* begin = digits.data();
    const char* end = begin + digits.size();
    const auto [stopped, error] = std::from_chars(begin, end, this->remaining, hexadecimal);
    if (digits.empty() || error != std::errc{} || stopped != end) {
        this->current = state::malformed;
        return false;
    }
    this->current = this->remaining == 0 ? state::trailer : state::data;
    return true;
}

} // namespace pomelohoist
