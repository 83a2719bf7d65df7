#pragma once

#include "operator/confirmation.h"
#include "operator/declaration_store.h"
#include "operator/operator_arguments.h"
#include "operator/operator_output.h"
#include "operator/status_client.h"

#include "common/random_source.h"

#include <pomelohoist/clock.h>

/// The commands of `pomelohoist`.
namespace pomelohoist {

class operator_commands {
  public:
    operator_commands(declaration_store& declarations, status_client& process_client, random_source& ids,
                      const clock& time_source);

    command_report run(const operator_command& command);

  private:
    command_report apply(const operator_command& command);
    command_report diff(const operator_command& command);
    command_report label(const operator_command& command);
    command_report get(const operator_command& command);
    command_report status(const operator_command& command);
    command_report explain(const operator_command& command);

    command_report change(const operator_command& command, const configuration& current, std::vector<patch> patches);
    result<configuration> commit(const configuration_change& new_change);
    void confirm(command_report& report, const configuration& current, const operator_command& command, bool list_all);

    declaration_store& store;
    status_client& client;
    random_source& random;
    const clock& time;
};

} // namespace pomelohoist
