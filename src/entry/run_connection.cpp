#include "entry/run_connection.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

std::chrono::milliseconds time_until(steady_time deadline, steady_time now) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return std::max(left, std::chrono::milliseconds{1});
}

run_report malformed(const std::string& detail) {
    return {run_ending::malformed, {error_kind::internal, "malformed answer of the agent: " + detail}};
}

run_report aborted(const failure& reason) {
    return {run_ending::aborted, reason};
}

run_report timed_out() {
    return {run_ending::timed_out, {error_kind::deadline_exceeded, "no whole answer before the deadline"}};
}

run_report connection_failure(const failure& reason) {
    if (reason.kind == error_kind::timeout) {
        return timed_out();
    }
    if (reason.kind != error_kind::unreachable) {
        return malformed(reason.reason);
    }
    return {run_ending::agent_lost, {error_kind::endpoint_failed, "the agent was lost: " + reason.reason}};
}

/// The received part of one response.
struct response_progress {
    ticket granted;
    bool has_head{false};
    std::uint64_t chunks{0};
    bool is_queued{false};
};

std::optional<run_report> handle_progress(const inner::packet& received, response_progress& progress) {
    const auto update = inner::decode_body<inner::run_progress>(received);
    if (!update || update->granted != progress.granted || progress.has_head) {
        return malformed("unexpected progress");
    }
    progress.is_queued = !update->started;
    return std::nullopt;
}

std::optional<run_report> handle_head(const inner::packet& received, response_progress& progress,
                                      run_consumer& consumer) {
    const auto head = inner::decode_body<inner::run_head>(received);
    if (!head || head->granted != progress.granted || progress.has_head) {
        return malformed("unexpected head");
    }
    progress.has_head = true;
    const result<done> accepted = consumer.on_head(*head);
    return accepted ? std::nullopt : std::optional{aborted(accepted.last_error())};
}

std::optional<run_report> handle_chunk(const inner::packet& received, response_progress& progress,
                                       run_consumer& consumer) {
    const auto chunk = inner::decode_body<inner::run_chunk>(received);
    if (!chunk || chunk->granted != progress.granted) {
        return malformed("chunk of another ticket");
    }
    if (!progress.has_head || chunk->number != progress.chunks) {
        return malformed("chunk " + std::to_string(chunk->number) + " instead of " + std::to_string(progress.chunks));
    }
    ++progress.chunks;
    const result<done> accepted = consumer.on_data(chunk->data);
    return accepted ? std::nullopt : std::optional{aborted(accepted.last_error())};
}

run_report handle_refusal(const inner::packet& received, const response_progress& progress, attempt_log& log) {
    const auto refused = inner::decode_body<inner::run_refused>(received);
    if (!refused || refused->granted != progress.granted || progress.has_head) {
        return malformed("unexpected refusal");
    }
    log.record_refused(refused->granted);
    return {run_ending::refused, {refused->kind, refused->reason}};
}

run_report handle_end(const inner::packet& received, const response_progress& progress, run_consumer& consumer) {
    const auto end = inner::decode_body<inner::run_end>(received);
    if (!end) {
        return malformed(end.last_error().reason);
    }
    if (end->granted != progress.granted) {
        return malformed("end record of another ticket");
    }
    if (end->failed) {
        return {run_ending::failed, {*end->failed, end->reason}};
    }
    if (!progress.has_head || end->chunks != progress.chunks) {
        return malformed("end record names " + std::to_string(end->chunks) + " chunks instead of " +
                         std::to_string(progress.chunks));
    }
    const result<done> accepted = consumer.on_end();
    return accepted ? run_report{run_ending::complete, {}} : aborted(accepted.last_error());
}

} // namespace

bool is_caller_disconnected(const run_report& report) {
    return report.ending == run_ending::aborted && report.reason.kind == error_kind::unreachable;
}

run_connection::run_connection(const clock& time_source, std::string process_name)
    : time(time_source), name(std::move(process_name)) {}

result<done> run_connection::open(const net_address& agent, steady_time deadline) {
    const auto timeout = std::min(config::connect_timeout, time_until(deadline, this->time.now()));
    result<inner::frame_channel> connected = inner::frame_channel::connect(agent, this->name, timeout);
    if (!connected) {
        return connected.last_error();
    }
    this->channel.emplace(std::move(*connected));
    return done{};
}

run_report run_connection::run(const inner::run_request& request, run_consumer& consumer, attempt_log& log,
                               steady_time deadline) {
    // A failed write is no proof of "not run": the bytes may have reached the agent before the connection broke.
    log.record_sent();
    const result<done> sent = this->channel->send(request);
    if (!sent) {
        return {run_ending::agent_lost, sent.last_error()};
    }
    return this->read_response(request.granted, consumer, log, deadline);
}

run_report run_connection::read_response(const ticket& granted, run_consumer& consumer, attempt_log& log,
                                         steady_time deadline) {
    response_progress progress{granted};
    while (true) {
        if (this->time.now() >= deadline) {
            return timed_out();
        }
        const result<inner::packet> received = this->channel->receive(time_until(deadline, this->time.now()));
        if (!received) {
            run_report lost = connection_failure(received.last_error());
            lost.only_queued = progress.is_queued;
            return lost;
        }
        std::optional<run_report> ended;
        switch (received->type) {
        case inner::message_type::run_head:
            ended = handle_head(*received, progress, consumer);
            break;
        case inner::message_type::run_chunk:
            ended = handle_chunk(*received, progress, consumer);
            break;
        case inner::message_type::run_progress:
            ended = handle_progress(*received, progress);
            break;
        case inner::message_type::run_refused:
            ended = handle_refusal(*received, progress, log);
            break;
        default:
            ended = handle_end(*received, progress, consumer);
        }
        if (ended) {
            return *ended;
        }
    }
}

void run_connection::abort() {
    if (this->channel) {
        this->channel->abort();
    }
}

} // namespace pomelohoist
