#include "ranks/remote_rank.h"

#include "ranks/rank_delta.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

using inner::call_stream;

void rank_server::handle_stream(const inner::packet& first, inner::frame_channel& channel) {
    const std::lock_guard lock{this->mutex};
    if (first.type == inner::rank_query::type) {
        this->answer_query(first, channel);
    } else {
        this->answer_command(first, channel);
    }
}

void rank_server::answer_query(const inner::packet& first, inner::frame_channel& channel) {
    const result<inner::rank_query> query = inner::decode_body<inner::rank_query>(first);
    const result<rank_state> state = this->engine.read_state();
    if (!query || !state) {
        const failure& reason = query ? state.last_error() : query.last_error();
        static_cast<void>(channel.send(inner::failure_response{reason.kind, reason.reason}));
        return;
    }
    inner::rank_report report;
    report.state = *state;
    if (query->with_counts) {
        this->add_counts(query->counts_base, report);
    }
    if (query->with_experts) {
        result<rank_experts> experts = this->engine.read_experts();
        report.experts = experts ? std::optional{std::move(*experts)} : std::nullopt;
    }
    static_cast<void>(channel.send(report));
}

void rank_server::add_counts(std::uint64_t requested_base, inner::rank_report& report) {
    result<std::vector<std::uint64_t>> counts = this->engine.read_counts();
    if (!counts) {
        return;
    }
    std::optional<std::string> difference;
    if (requested_base != 0 && requested_base == this->last_read) {
        difference = encode_counts(*counts, this->last_counts);
        report.counts_base = difference ? requested_base : 0;
    }
    report.counts = difference ? std::move(*difference) : encode_counts(*counts, {}).value_or("");
    report.counts_read = ++this->last_read;
    this->last_counts = std::move(*counts);
}

void rank_server::answer_command(const inner::packet& first, inner::frame_channel& channel) {
    result<inner::rank_command_request> request = inner::decode_body<inner::rank_command_request>(first);
    if (request && request->base_version != 0) {
        auto slots = request->base_version == this->last_map_version
                         ? decode_slots(request->slot_changes, this->last_map)
                         : std::nullopt;
        if (slots) {
            request->command.slots = std::move(*slots);
        } else {
            request = failure{error_kind::not_found, "the base of the map is unknown"};
        }
    }
    if (!request) {
        static_cast<void>(
            channel.send(inner::failure_response{request.last_error().kind, request.last_error().reason}));
        return;
    }
    if (request->command.kind == rank_command_kind::prepare) {
        this->last_map_version = request->command.version;
        this->last_map = request->command.slots;
    }
    static_cast<void>(channel.send(inner::rank_command_response{this->engine.send_command(request->command)}));
}

remote_rank::remote_rank(std::string own_name, net_address process, const net_address& engine,
                         rank_engine_source& source, const clock& time_source)
    : name(std::move(own_name)), address(std::move(process)), engine_address(engine), engines(source),
      time(time_source) {}

bool remote_rank::in_cooldown() const {
    return this->failed_at && this->time.now() - *this->failed_at < config::rank_process_cooldown;
}

rank_engine& remote_rank::engine() {
    if (!this->direct) {
        this->direct = this->engines.connect_engine(this->engine_address);
    }
    return *this->direct;
}

result<rank_state> remote_rank::read_state() {
    if (!this->in_cooldown()) {
        const result<inner::rank_report> report =
            call_stream<inner::rank_report>(this->address, this->name, inner::rank_query{}, config::rank_call_timeout);
        if (report) {
            return report->state;
        }
        this->failed_at = this->time.now();
    }
    return this->engine().read_state();
}

result<std::vector<std::uint64_t>> remote_rank::read_counts() {
    const result<inner::rank_report> report = call_stream<inner::rank_report>(
        this->address, this->name, inner::rank_query{true, false, this->counts_read}, config::rank_call_timeout);
    if (!report) {
        return report.last_error();
    }
    const bool is_difference = report->counts_base != 0;
    auto decoded = report->counts_read == 0 || (is_difference && report->counts_base != this->counts_read)
                       ? std::nullopt
                       : decode_counts(report->counts, is_difference ? this->counts : std::vector<std::uint64_t>{});
    if (!decoded) {
        this->counts_read = 0;
        return failure{error_kind::unreachable, "the rank reported no counts"};
    }
    this->counts_read = report->counts_read;
    this->counts = std::move(*decoded);
    return this->counts;
}

result<rank_experts> remote_rank::read_experts() {
    const result<inner::rank_report> report = call_stream<inner::rank_report>(
        this->address, this->name, inner::rank_query{false, true, 0}, config::rank_call_timeout);
    if (!report) {
        return report.last_error();
    }
    if (!report->experts) {
        return failure{error_kind::unreachable, "the rank reported no experts"};
    }
    return *report->experts;
}

result<inner::rank_command_response> remote_rank::call_process(const rank_command& command) {
    if (command.kind != rank_command_kind::prepare) {
        return call_stream<inner::rank_command_response>(
            this->address, this->name, inner::rank_command_request{command, 0, ""}, config::rank_call_timeout);
    }
    result<inner::rank_command_response> response = failure{error_kind::not_found, "no map was sent before"};
    if (this->map_version != 0 && this->map.size() == command.slots.size()) {
        inner::rank_command_request difference{command, this->map_version, encode_slots(command.slots, this->map)};
        difference.command.slots.clear();
        response =
            call_stream<inner::rank_command_response>(this->address, this->name, difference, config::rank_call_timeout);
    }
    if (!response && response.last_error().kind == error_kind::not_found) {
        response = call_stream<inner::rank_command_response>(
            this->address, this->name, inner::rank_command_request{command, 0, ""}, config::rank_call_timeout);
    }
    this->map_version = response ? command.version : 0;
    this->map = response ? command.slots : std::vector<std::uint16_t>{};
    return response;
}

command_outcome remote_rank::send_command(const rank_command& command) {
    // A hold is sent without the process of a third host, so that no other host than the coordinator's takes part in
    // it.
    if (command.kind != rank_command_kind::hold && !this->in_cooldown()) {
        const result<inner::rank_command_response> response = this->call_process(command);
        if (response) {
            return response->outcome;
        }
        this->failed_at = this->time.now();
    }
    return this->engine().send_command(command);
}

} // namespace pomelohoist
