#pragma once

#include "declaration/configuration.h"

#include <pomelohoist/error.h>

#include <string>

/// Serialized configurations and deltas, as stored in the platform and sent between processes (cereal).
namespace pomelohoist {

std::string encode_configuration(const configuration& content);
/// @returns the configuration, `bad_request` when the bytes are malformed, or `invalid_declaration`
result<configuration> decode_configuration(const std::string& bytes);

std::string encode_delta(const configuration_delta& delta);
/// @returns the delta, or `bad_request` when the bytes are malformed
result<configuration_delta> decode_delta(const std::string& bytes);

} // namespace pomelohoist
