#include "operator/operator_commands.h"

#include "operator/label_arguments.h"

#include "declaration/declaration_file.h"

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::size_t change_id_bytes = 16;
// A commit whose response was lost is retried with the same change id, which shows whether an earlier attempt was
// accepted.
constexpr int commit_attempts = 3;

command_report failed(const failure& error) {
    command_report report;
    report.error = error;
    switch (error.kind) {
    case error_kind::conflict:
        report.status = operator_status::conflict;
        break;
    case error_kind::store_unavailable:
        report.status = operator_status::store_unavailable;
        break;
    case error_kind::invalid_declaration:
    case error_kind::bad_request:
        report.status = operator_status::usage;
        break;
    default:
        report.status = operator_status::failed;
    }
    return report;
}

nlohmann::json value_cell(const std::optional<std::string>& value) {
    return value ? nlohmann::json(*value) : nlohmann::json();
}

std::string describe_changes(std::size_t change_count) {
    return std::to_string(change_count) + (change_count == 1 ? " change" : " changes");
}

std::string action_of(const patch& object_patch) {
    if (!object_patch.value) {
        return object_patch.key.empty() ? "delete" : "remove";
    }
    if (object_patch.key.empty()) {
        return "create";
    }
    return object_patch.expected ? "change" : "set";
}

bool is_existence_check(const patch& object_patch) {
    return object_patch.key.empty() && object_patch.expected && object_patch.value;
}

output_table changes_table(const std::vector<patch>& patches) {
    output_table table{"changes", {"action", "kind", "name", "key", "before", "after"}, {}};
    for (const patch& object_patch : patches) {
        if (is_existence_check(object_patch)) {
            continue;
        }
        const bool is_field = !object_patch.key.empty();
        table.rows.push_back({action_of(object_patch), std::string{to_string(object_patch.object.kind)},
                              object_patch.object.name, is_field ? nlohmann::json(object_patch.key) : nlohmann::json(),
                              is_field ? value_cell(object_patch.expected) : nlohmann::json(),
                              is_field ? value_cell(object_patch.value) : nlohmann::json()});
    }
    return table;
}

output_table processes_table(const std::vector<process_state>& processes, std::uint64_t version, bool list_all) {
    output_table table{list_all ? "processes" : "not_confirmed",
                       {"name", "role", "address", "data_centre", "version", "state", "queued", "running", "problem"},
                       {}};
    for (const process_state& process : processes) {
        const bool has_confirmed = process.has_confirmed(version);
        if (has_confirmed && !list_all) {
            continue;
        }
        std::string state = process.response ? (has_confirmed ? "confirmed" : "behind") : "no_answer";
        if (process.response && process.response->draining) {
            state += ",draining";
        }
        if (process.response && !process.response->healthy) {
            state += ",unhealthy";
        }
        const bool has_response = process.response.has_value();
        table.rows.push_back({process.name, process.role, process.address.to_string(), process.data_centre,
                              has_response ? nlohmann::json(process.response->configuration_version) : nlohmann::json(),
                              state, has_response ? nlohmann::json(process.response->queued) : nlohmann::json(),
                              has_response ? nlohmann::json(process.response->running) : nlohmann::json(),
                              has_response ? nlohmann::json() : nlohmann::json(process.problem)});
    }
    return table;
}

} // namespace

operator_commands::operator_commands(declaration_store& declarations, status_client& process_client, random_source& ids,
                                     const clock& time_source)
    : store(declarations), client(process_client), random(ids), time(time_source) {}

command_report operator_commands::run(const operator_command& command) {
    switch (command.verb) {
    case operator_verb::apply:
        return this->apply(command);
    case operator_verb::diff:
        return this->diff(command);
    case operator_verb::label:
        return this->label(command);
    case operator_verb::get:
        return this->get(command);
    case operator_verb::status:
        return this->status(command);
    case operator_verb::explain:
        return this->explain(command);
    case operator_verb::count:
        break;
    }
    return failed({error_kind::bad_request, "unknown command"});
}

command_report operator_commands::apply(const operator_command& command) {
    const result<object_map> declared = read_declarations(command.arguments);
    if (!declared) {
        return failed(declared.last_error());
    }
    const result<configuration> current = this->store.read_newest();
    if (!current) {
        return failed(current.last_error());
    }
    return this->change(command, *current, diff_objects(current->objects(), *declared, command.prune));
}

command_report operator_commands::diff(const operator_command& command) {
    operator_command preview = command;
    preview.dry_run = true;
    return this->apply(preview);
}

command_report operator_commands::label(const operator_command& command) {
    const result<label_arguments> parsed = parse_label_arguments(command.arguments);
    if (!parsed) {
        return failed(parsed.last_error());
    }
    const result<configuration> current = this->store.read_newest();
    if (!current) {
        return failed(current.last_error());
    }
    const auto object = current->objects().find(parsed->object);
    if (object == current->objects().end()) {
        return failed({error_kind::not_found,
                       std::string{to_string(parsed->object.kind)} + " " + parsed->object.name + " is not declared"});
    }
    return this->change(command, *current, label_patches(*parsed, object->second));
}

command_report operator_commands::change(const operator_command& command, const configuration& current,
                                         std::vector<patch> patches) {
    command_report report;
    report.version = current.version();
    report.tables.push_back(changes_table(patches));
    const std::size_t change_count = report.tables.front().rows.size();
    configuration_change new_change{this->random.next_hex(change_id_bytes), std::move(patches)};
    // Applied locally first, so that a dry run reports the same errors as a refused change.
    const result<configuration> checked = current.apply({current.version() + 1, new_change});
    if (!checked) {
        return failed(checked.last_error());
    }
    if (command.dry_run) {
        report.summary = (change_count == 0 ? "no changes" : describe_changes(change_count)) + " to version " +
                         std::to_string(current.version()) + (change_count == 0 ? "" : "; nothing was changed");
        return report;
    }
    if (change_count == 0) {
        report.summary = "no changes to version " + std::to_string(current.version());
        if (command.wait) {
            this->confirm(report, current, command, false);
        }
        return report;
    }
    const result<configuration> committed = this->commit(new_change);
    if (!committed) {
        return failed(committed.last_error());
    }
    report.version = committed->version();
    report.summary = describe_changes(change_count) + " accepted as version " + std::to_string(committed->version());
    if (command.wait) {
        this->confirm(report, *committed, command, false);
    }
    return report;
}

result<configuration> operator_commands::commit(const configuration_change& new_change) {
    for (int attempt = 1;; ++attempt) {
        result<configuration> committed = this->store.commit(new_change);
        if (committed || committed.last_error().kind != error_kind::store_unavailable) {
            return committed;
        }
        if (attempt == commit_attempts) {
            return failure{error_kind::store_unavailable, committed.last_error().reason +
                                                              "; it is not known whether change " + new_change.id +
                                                              " was accepted, run diff to find out"};
        }
    }
}

void operator_commands::confirm(command_report& report, const configuration& current, const operator_command& command,
                                bool list_all) {
    const result<std::vector<registered_entry>> entries = this->store.read_entries();
    std::vector<process_state> processes =
        list_processes(current, entries ? *entries : std::vector<registered_entry>{});
    await_confirmation(processes, current.version(), this->client, this->time, command.timeout);
    const auto confirmed = std::count_if(processes.begin(), processes.end(), [&current](const process_state& process) {
        return process.has_confirmed(current.version());
    });
    report.tables.push_back(processes_table(processes, current.version(), list_all));
    report.summary += (report.summary.empty() ? "" : "; ") + std::to_string(confirmed) + " of " +
                      std::to_string(processes.size()) + " processes have confirmed version " +
                      std::to_string(current.version());
    if (!entries) {
        report.status = operator_status::store_unavailable;
        report.error =
            failure{entries.last_error().kind, "cannot read the registered entries: " + entries.last_error().reason};
    } else if (static_cast<std::size_t>(confirmed) < processes.size()) {
        report.status = operator_status::failed;
        report.error = failure{error_kind::timeout, "not confirmed by all processes in time"};
    }
}

command_report operator_commands::get(const operator_command& command) {
    std::optional<object_kind> kind;
    if (!command.arguments.empty()) {
        kind = parse_object_kind(command.arguments.front());
        if (!kind) {
            return failed({error_kind::bad_request, "unknown kind \"" + command.arguments.front() +
                                                        "\"; allowed are workspace, application, endpoint, selector"});
        }
    }
    const result<configuration> current = this->store.read_newest();
    if (!current) {
        return failed(current.last_error());
    }
    command_report report;
    report.version = current->version();
    output_table table{"objects", {"kind", "name", "fields"}, {}};
    for (const auto& [key, fields] : current->objects()) {
        const bool matches_name = command.arguments.size() < 2 || key.name == command.arguments[1];
        if ((!kind || key.kind == *kind) && matches_name) {
            table.rows.push_back({std::string{to_string(key.kind)}, key.name, nlohmann::json(fields.values)});
        }
    }
    if (table.rows.empty() && command.arguments.size() == 2) {
        return failed({error_kind::not_found, command.arguments[0] + " " + command.arguments[1] + " is not declared"});
    }
    report.tables.push_back(std::move(table));
    return report;
}

command_report operator_commands::status(const operator_command& command) {
    const result<configuration> current = this->store.read_newest();
    if (!current) {
        return failed(current.last_error());
    }
    command_report report;
    report.version = current->version();
    this->confirm(report, *current, command, true);
    return report;
}

command_report operator_commands::explain(const operator_command& command) {
    const result<configuration> current = this->store.read_newest();
    if (!current) {
        return failed(current.last_error());
    }
    if (current->find_workspace(command.arguments[0]) == nullptr) {
        return failed({error_kind::not_found, "workspace " + command.arguments[0] + " is not declared"});
    }
    if (current->find_application(command.arguments[1]) == nullptr) {
        return failed({error_kind::not_found, "application " + command.arguments[1] + " is not declared"});
    }
    command_report report;
    report.version = current->version();
    output_table table{"endpoints", {"endpoint", "reachable", "reason"}, {}};
    for (const reach_explanation& line : current->explain(command.arguments[0], command.arguments[1])) {
        table.rows.push_back({line.endpoint, line.reachable, line.reason});
    }
    report.tables.push_back(std::move(table));
    return report;
}

} // namespace pomelohoist
