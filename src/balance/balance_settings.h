#pragma once

#include "common/settings.h"

#include <pomelohoist/expert_balance.h>

/// Section [balance] of a settings file.
namespace pomelohoist {

/// @returns the keys balance.*, all of them optional
settings_schema balance_schema();

/// @param checked settings loaded with `balance_schema`
/// @returns the options, or `invalid_settings` with the key that is out of its range
result<balance_options> read_balance_options(const settings& checked);

} // namespace pomelohoist
