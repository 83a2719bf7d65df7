#include "common/random_source.h"

namespace pomelohoist {

namespace {

constexpr unsigned fraction_bits = 53; // bits of a double's mantissa
constexpr unsigned word_bits = 64;
constexpr unsigned nibble_bits = 4;
constexpr unsigned half_word_bits = 32;

} // namespace

double random_source::next_fraction() {
    const auto mantissa = this->next() >> (word_bits - fraction_bits);
    return static_cast<double>(mantissa) / static_cast<double>(1ULL << fraction_bits);
}

std::size_t random_source::next_below(std::size_t bound) {
    return static_cast<std::size_t>(this->next_fraction() * static_cast<double>(bound));
}

std::string random_source::next_hex(std::size_t bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes);
    while (text.size() < 2 * bytes) {
        std::uint64_t word = this->next();
        for (unsigned i = 0; i < word_bits / nibble_bits && text.size() < 2 * bytes; ++i) {
            text += digits[word & 0xFU];
            word >>= nibble_bits;
        }
    }
    return text;
}

std::uint64_t seeded_random::next() {
    const std::lock_guard lock{this->mutex};
    return this->engine();
}

std::uint64_t system_seed() {
    std::random_device source;
    const std::uint64_t high = source();
    return (high << half_word_bits) | source();
}

} // namespace pomelohoist
