#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Digests: SHA-256 (POCO) where collision resistance is needed, XXH3 for all other hashing.
namespace pomelohoist {

/// @returns SHA-256 as 64 lower-case hexadecimal digits
std::string sha256_hex(std::string_view text);

/// @returns XXH3 of the text, the same on every host
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

} // namespace pomelohoist
