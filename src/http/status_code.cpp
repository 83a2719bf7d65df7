#include "http/status_code.h"

#include <algorithm>

namespace pomelohoist {

namespace {

bool is_digit(char character) {
    return character >= '0' && character <= '9';
}

} // namespace

std::optional<std::uint16_t> parse_status_line(std::string_view line) {
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t code_begin = 9; // after the minor version and a space
    constexpr std::size_t code_end = code_begin + 3;
    if (line.size() <= code_end || !line.starts_with(protocol) || !is_digit(line[protocol.size()]) ||
        line[code_begin - 1] != ' ' || (line[code_end] != ' ' && line[code_end] != '\r')) {
        return std::nullopt;
    }
    const std::string_view code = line.substr(code_begin, code_end - code_begin);
    if (!std::all_of(code.begin(), code.end(), is_digit)) {
        return std::nullopt;
    }
    constexpr int base = 10;
    int status = 0;
    for (const char digit : code) {
        status = status * base + (digit - '0');
    }
    return is_interim_status(status) || is_final_status(status) ? std::optional{static_cast<std::uint16_t>(status)}
                                                                : std::nullopt;
}

} // namespace pomelohoist
