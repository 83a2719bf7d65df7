#pragma once

#include "common/settings.h"

#include <pomelohoist/error.h>
#include <pomelohoist/expert_balance.h>
#include <pomelohoist/types.h>

#include <optional>

/// Sections [group] and [balance] of an agent's settings file.
namespace pomelohoist {

struct group_settings {
    net_address step_address; ///< HTTP address on which the rank requests its steps
    expert_shape shape;
    balance_options balance;

    friend bool operator==(const group_settings&, const group_settings&) = default;
};

settings_schema group_schema();

/// @returns the settings, an empty optional when the endpoint belongs to no group, or `invalid_settings`
result<std::optional<group_settings>> read_group_settings(const settings& checked);

} // namespace pomelohoist
