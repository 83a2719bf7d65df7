#pragma once

#include <pomelohoist/types.h>

#include <string>
#include <vector>

/// Exchanges of bytes as they are, without an HTTP library that could change them.
namespace pomelohoist::test_support {

/// Sends the bytes on a new connection and reads until the server closes it.
/// @returns what the server has sent
std::string exchange_raw(const net_address& target, const std::string& bytes);

/// @returns the lines of the first head in `bytes`, without their ends
std::vector<std::string> head_lines(const std::string& bytes);

/// @returns true when one of the lines of the first head is `line`
bool has_line(const std::string& bytes, const std::string& line);

} // namespace pomelohoist::test_support
