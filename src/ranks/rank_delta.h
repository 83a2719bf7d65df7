#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Compact forms of the expert counts and maps that the processes of a group send each other. They send the difference
/// from what the receiver already has, in a variable number of bytes for each number.
namespace pomelohoist {

/// @param base earlier counts of the same rank that the receiver has; empty when it has none
/// @returns the encoded counts, or nothing when a count is below that in `base`, as after a restart of the rank
std::optional<std::string> encode_counts(const std::vector<std::uint64_t>& counts,
                                         const std::vector<std::uint64_t>& base);
/// @returns the counts, or nothing when the bytes are malformed or do not fit `base`
std::optional<std::vector<std::uint64_t>> decode_counts(std::string_view bytes, const std::vector<std::uint64_t>& base);

/// @param base map that the receiver has, of the same size
std::string encode_slots(const std::vector<std::uint16_t>& slots, const std::vector<std::uint16_t>& base);
/// @returns the slots, or nothing when the bytes are malformed or do not fit `base`
std::optional<std::vector<std::uint16_t>> decode_slots(std::string_view bytes, const std::vector<std::uint16_t>& base);

} // namespace pomelohoist
