#include "ranks/remote_rank.h"

#include "ranks/rank_messages.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

using inner::call_stream;

void rank_server::handle_stream(const inner::packet& first, inner::frame_channel& channel) {
    const std::lock_guard lock{this->mutex};
    if (first.type == inner::rank_query::type) {
        const result<inner::rank_query> query = inner::decode_body<inner::rank_query>(first);
        const result<rank_state> state = this->engine.read_state();
        if (!query || !state) {
            const failure& reason = query ? state.last_error() : query.last_error();
            static_cast<void>(channel.send(inner::failure_response{reason.kind, reason.reason}));
            return;
        }
        inner::rank_report report{*state, {}, std::nullopt};
        if (query->with_counts) {
            result<std::vector<std::uint64_t>> counts = this->engine.read_counts();
            report.counts = counts ? std::move(*counts) : std::vector<std::uint64_t>{};
        }
        if (query->with_experts) {
            result<rank_experts> experts = this->engine.read_experts();
            report.experts = experts ? std::optional{std::move(*experts)} : std::nullopt;
        }
        static_cast<void>(channel.send(report));
        return;
    }
    const result<inner::rank_command_request> request = inner::decode_body<inner::rank_command_request>(first);
    if (!request) {
        static_cast<void>(
            channel.send(inner::failure_response{request.last_error().kind, request.last_error().reason}));
        return;
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
        this->address, this->name, inner::rank_query{true, false}, config::rank_call_timeout);
    if (!report) {
        return report.last_error();
    }
    if (report->counts.empty()) {
        return failure{error_kind::unreachable, "the rank reported no counts"};
    }
    return report->counts;
}

result<rank_experts> remote_rank::read_experts() {
    const result<inner::rank_report> report = call_stream<inner::rank_report>(
        this->address, this->name, inner::rank_query{false, true}, config::rank_call_timeout);
    if (!report) {
        return report.last_error();
    }
    if (!report->experts) {
        return failure{error_kind::unreachable, "the rank reported no experts"};
    }
    return *report->experts;
}

command_outcome remote_rank::send_command(const rank_command& command) {
    if (!this->in_cooldown()) {
        const result<inner::rank_command_response> response = call_stream<inner::rank_command_response>(
            this->address, this->name, inner::rank_command_request{command}, config::rank_call_timeout);
        if (response) {
            return response->outcome;
        }
        this->failed_at = this->time.now();
    }
    return this->engine().send_command(command);
}

} // namespace pomelohoist
