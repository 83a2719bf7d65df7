#pragma once

#include <string>

/// Base64 (POCO) for keys and values of the etcd v3 JSON form.
namespace pomelohoist {

/// @returns the text in Base64, on one line
std::string encode_base64(const std::string& text);

/// @returns the text
/// @attention throws Poco::DataFormatException when the input is not Base64
std::string decode_base64(const std::string& encoded);

} // namespace pomelohoist
