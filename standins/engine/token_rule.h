#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <string>

/// Generates the text of responses: token i is "tNN " with NN = XXH3(prompt, seed i) mod 100, in two digits. The prompt
/// of a chat is the concatenation of "ROLE: CONTENT\n" over its messages. A text has one token per 4 bytes, rounded up.
namespace standin {

inline std::string token_text(const std::string& prompt, std::uint64_t index) {
    constexpr std::uint64_t texts = 100;
    constexpr std::uint64_t ten = 10;
    const std::uint64_t number = XXH3_64bits_withSeed(prompt.data(), prompt.size(), index) % texts;
    return "t" + std::to_string(number / ten) + std::to_string(number % ten) + " ";
}

/// @returns tokens [begin, end) of the response
inline std::string response_text(const std::string& prompt, std::uint64_t begin, std::uint64_t end) {
    std::string text;
    for (std::uint64_t i = begin; i < end; ++i) {
        text += token_text(prompt, i);
    }
    return text;
}

inline std::uint64_t count_tokens(const std::string& text) {
    constexpr std::size_t bytes_per_token = 4;
    return (text.size() + bytes_per_token - 1) / bytes_per_token;
}

} // namespace standin
