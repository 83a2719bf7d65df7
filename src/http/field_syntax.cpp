#include "http/field_syntax.h"

#include <algorithm>
#include <charconv>

namespace pomelohoist {

namespace {

constexpr std::string_view token_marks = "!#$%&'*+-.^_`|~";
constexpr std::string_view white_space = " \t";

bool is_digit(char character) {
    return character >= '0' && character <= '9';
}

char to_lower(char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool is_token_character(char character) {
    const char lower = to_lower(character);
    return is_digit(character) || (lower >= 'a' && lower <= 'z') ||
           token_marks.find(character) != std::string_view::npos;
}

bool is_control(char character) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return code < first_printable || code == delete_character;
}

} // namespace

bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_field_value(std::string_view text) {
    return trim_field_value(text).size() == text.size() && std::none_of(text.begin(), text.end(), [](char character) {
               return is_control(character) && character != '\t';
           });
}

bool is_request_target(std::string_view text) {
    return !text.empty() && std::none_of(text.begin(), text.end(),
                                         [](char character) { return is_control(character) || character == ' '; });
}

std::string_view trim_field_value(std::string_view text) {
    const std::size_t first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

bool equals_ignoring_case(std::string_view first, std::string_view second) {
    return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                      [](char left, char right) { return to_lower(left) == to_lower(right); });
}

bool is_decimal(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

std::optional<std::uint64_t> parse_decimal(std::string_view text) {
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, number);
    return !text.empty() && error == std::errc{} && stopped == end ? std::optional{number} : std::nullopt;
}

} // namespace pomelohoist
