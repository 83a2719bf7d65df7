#pragma once

#include <string>

/// Base64 (POCO) for values of the platform's stores: keys and values of etcd's v3 JSON form, values of rows.
namespace pomelohoist {

/// @returns the text in Base64, without line breaks
std::string encode_base64(const std::string& text);

/// @returns the decoded text
/// @attention throws Poco::DataFormatException when the input is not Base64
std::string decode_base64(const std::string& encoded);

} // namespace pomelohoist
