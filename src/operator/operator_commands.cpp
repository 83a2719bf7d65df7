#include "operator/operator_commands.h"

#include "operator/label_arguments.h"

#include "declaration/declaration_file.h"

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::size_t change_id_bytes = 16;
// A commit whose answer was lost is sent again with the same id; the store answers what became of it.
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

std::string count_of_changes(std::size_t number) {
    return std::to_string(number) + (number == 1 ? " change" : " changes");
}

std::string action_of(const patch& one) {
    if (!one.value) {
        return one.key.empty() ? "delete" : "remove";
    }
    if (one.key.empty()) {
        return "create";
    }
    return one.expected ? "change" : "set";
}

bool is_existence_check(const patch& one) {
    return one.key.empty() && one.expected && one.value;
}

output_table changes_table(const std::vector<patch>& patches) {
    output_table table{"changes", {"action", "kind", "name", "key", "before", "after"}, {}};
    for (const patch& one : patches) {
        if (is_existence_check(one)) {
            continue;
        }
        const bool is_field = !one.key.empty();
        table.rows.push_back({action_of(one), std::string{to_string(one.object.kind)}, one.object.name,
                              is_field ? nlohmann::json(one.key) : nlohmann::json(),
                              is_field ? value_cell(one.expected) : nlohmann::json(),
                              is_field ? value_cell(one.value) : nlohmann::json()});
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
        std::string state = process.answer ? (has_confirmed ? "confirmed" : "behind") : "no_answer";
        if (process.answer && process.answer->draining) {
            state += ",draining";
        }
        if (process.answer && !process.answer->healthy) {
            state += ",unhealthy";
        }
        const bool is_answered = process.answer.has_value();
        table.rows.push_back({process.name, process.role, process.address.to_string(), process.data_centre,
                              is_answered ? nlohmann::json(process.answer->configuration_version) : nlohmann::json(),
                              state, is_answered ? nlohmann::json(process.answer->queued) : nlohmann::json(),
                              is_answered ? nlohmann::json(process.answer->running) : nlohmann::json(),
                              is_answered ? nlohmann::json() : nlohmann::json(process.problem)});
    }
    return table;
}

} // namespace

operator_commands::operator_commands(declaration_store& declarations, status_client& processes, random_source& ids,
                                     const clock& time_source)
    : store(declarations), client(processes), random(ids), time(time_source) {}

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
    const result<object_map> wanted = read_declarations(command.arguments);
    if (!wanted) {
        return failed(wanted.last_error());
    }
    const result<configuration> now = this->store.read_newest();
    if (!now) {
        return failed(now.last_error());
    }
    return this->change(command, *now, diff_objects(now->objects(), *wanted, command.prune));
}

command_report operator_commands::diff(const operator_command& command) {
    operator_command preview = command;
    preview.dry_run = true;
    return this->apply(preview);
}

command_report operator_commands::label(const operator_command& command) {
    const result<label_arguments> wanted = parse_label_arguments(command.arguments);
    if (!wanted) {
        return failed(wanted.last_error());
    }
    const result<configuration> now = this->store.read_newest();
    if (!now) {
        return failed(now.last_error());
    }
    const auto object = now->objects().find(wanted->object);
    if (object == now->objects().end()) {
        return failed({error_kind::not_found,
                       std::string{to_string(wanted->object.kind)} + " " + wanted->object.name + " is not declared"});
    }
    return this->change(command, *now, label_patches(*wanted, object->second));
}

command_report operator_commands::change(const operator_command& command, const configuration& now,
                                         std::vector<patch> patches) {
    command_report report;
    report.version = now.version();
    report.tables.push_back(changes_table(patches));
    const std::size_t number = report.tables.front().rows.size();
    configuration_change wanted{this->random.next_hex(change_id_bytes), std::move(patches)};
    // Checked here first, so that a dry run and a refused change give the same reasons.
    const result<configuration> expected = now.apply({now.version() + 1, wanted});
    if (!expected) {
        return failed(expected.last_error());
    }
    if (command.dry_run) {
        report.summary = (number == 0 ? "no changes" : count_of_changes(number)) + " to version " +
                         std::to_string(now.version()) + (number == 0 ? "" : "; nothing was changed");
        return report;
    }
    if (number == 0) {
        report.summary = "no changes to version " + std::to_string(now.version());
        if (command.wait) {
            this->confirm(report, now, command, false);
        }
        return report;
    }
    const result<configuration> made = this->commit(wanted);
    if (!made) {
        return failed(made.last_error());
    }
    report.version = made->version();
    report.summary = count_of_changes(number) + " accepted as version " + std::to_string(made->version());
    if (command.wait) {
        this->confirm(report, *made, command, false);
    }
    return report;
}

result<configuration> operator_commands::commit(const configuration_change& wanted) {
    for (int attempt = 1;; ++attempt) {
        result<configuration> made = this->store.commit(wanted);
        if (made || made.last_error().kind != error_kind::store_unavailable) {
            return made;
        }
        if (attempt == commit_attempts) {
            return failure{error_kind::store_unavailable, made.last_error().reason +
                                                              "; it is not known whether change " + wanted.id +
                                                              " was accepted, run diff to find out"};
        }
    }
}

void operator_commands::confirm(command_report& report, const configuration& now, const operator_command& command,
                                bool list_all) {
    const result<std::vector<registered_entry>> entries = this->store.read_entries();
    std::vector<process_state> processes = list_processes(now, entries ? *entries : std::vector<registered_entry>{});
    await_confirmation(processes, now.version(), this->client, this->time, command.timeout);
    const auto confirmed = std::count_if(processes.begin(), processes.end(), [&now](const process_state& process) {
        return process.has_confirmed(now.version());
    });
    report.tables.push_back(processes_table(processes, now.version(), list_all));
    report.summary += (report.summary.empty() ? "" : "; ") + std::to_string(confirmed) + " of " +
                      std::to_string(processes.size()) + " processes have confirmed version " +
                      std::to_string(now.version());
    if (!entries) {
        report.status = operator_status::store_unavailable;
        report.error = failure{entries.last_error().kind, "entries are not known: " + entries.last_error().reason};
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
    const result<configuration> now = this->store.read_newest();
    if (!now) {
        return failed(now.last_error());
    }
    command_report report;
    report.version = now->version();
    output_table table{"objects", {"kind", "name", "fields"}, {}};
    for (const auto& [key, fields] : now->objects()) {
        const bool is_named = command.arguments.size() < 2 || key.name == command.arguments[1];
        if ((!kind || key.kind == *kind) && is_named) {
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
    const result<configuration> now = this->store.read_newest();
    if (!now) {
        return failed(now.last_error());
    }
    command_report report;
    report.version = now->version();
    this->confirm(report, *now, command, true);
    return report;
}

command_report operator_commands::explain(const operator_command& command) {
    const result<configuration> now = this->store.read_newest();
    if (!now) {
        return failed(now.last_error());
    }
    if (now->find_workspace(command.arguments[0]) == nullptr) {
        return failed({error_kind::not_found, "workspace " + command.arguments[0] + " is not declared"});
    }
    if (now->find_application(command.arguments[1]) == nullptr) {
        return failed({error_kind::not_found, "application " + command.arguments[1] + " is not declared"});
    }
    command_report report;
    report.version = now->version();
    output_table table{"endpoints", {"endpoint", "reachable", "reason"}, {}};
    for (const reach_explanation& line : now->explain(command.arguments[0], command.arguments[1])) {
        table.rows.push_back({line.endpoint, line.reachable, line.reason});
    }
    report.tables.push_back(std::move(table));
    return report;
}

} // namespace pomelohoist
