#pragma once

#include "inner/peer_listener.h"

#include <pomelohoist/clock.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// A scripted agent with its endpoint, over real loopback sockets.
namespace pomelohoist {

/// How the agent handles a run.
enum class run_script : std::uint8_t {
    respond,
    refuse,
    drop_run,            ///< closes the connection and ignores the run message
    break_before_head,   ///< runs, then closes the connection
    break_mid_response,  ///< runs, then closes the connection between two chunks
    skip_chunk,          ///< leaves out one chunk
    wrong_ticket,        ///< sends chunks of another ticket
    wrong_count,         ///< the end record counts one chunk too many
    crash,               ///< closes the connection between two chunks and drops all tickets
    endpoint_failure,    ///< the end record reports a failure
    complete_then_break, ///< stores the complete response and closes the connection before the end record
    delayed_end,         ///< sends the end record 1 s after the last chunk
    crash_while_queued,  ///< reports the run as queued, closes the connection and drops all tickets
    crash_after_queue,   ///< as crash_while_queued, but also reports the run as started
    unresponsive,        ///< accepts the run and sends nothing for 1 s
    count
};

constexpr std::uint64_t fake_tokens = 6;

class fake_agent : public inner::datagram_handler, public inner::stream_handler {
  public:
    explicit fake_agent(const std::string& agent_name)
        : name(agent_name), listener({"127.0.0.1", 0}, agent_name, time) {
        this->listener.start(*this, *this);
    }
    ~fake_agent() override { this->listener.stop(); }
    fake_agent(const fake_agent&) = delete;
    fake_agent& operator=(const fake_agent&) = delete;

    [[nodiscard]] net_address address() const { return this->listener.local_address(); }

    void script(std::vector<run_script> next_runs) {
        const std::lock_guard lock{this->mutex};
        this->scripts.assign(next_runs.begin(), next_runs.end());
    }
    void refuse_reserves(std::optional<error_kind> kind) {
        const std::lock_guard lock{this->mutex};
        this->refusal = kind;
    }
    [[nodiscard]] int runs_of(const std::string& digest) {
        const std::lock_guard lock{this->mutex};
        return this->runs[digest];
    }
    [[nodiscard]] int total_runs() {
        const std::lock_guard lock{this->mutex};
        int total = 0;
        for (const auto& [digest, number] : this->runs) {
            total += number;
        }
        return total;
    }
    [[nodiscard]] std::string last_digest() {
        const std::lock_guard lock{this->mutex};
        return this->latest.reservation.digest;
    }
    [[nodiscard]] inner::run_request last_run() {
        const std::lock_guard lock{this->mutex};
        return this->latest;
    }

    std::atomic<std::uint64_t> configuration_version{1}; ///< reserve requests with a lower version are refused as stale
    std::atomic<int> suspects{0};
    std::atomic<int> reserves{0};
    std::atomic<int> aborts{0};
    std::atomic<std::uint32_t> first_token_ms{10};
    std::vector<inner::header_field> more_headers; ///< of all responses; set before the first request

    inner::payload handle_datagram(const inner::packet& request) override {
        if (request.type == inner::message_type::reserve_request) {
            return inner::to_payload(this->reserve(*inner::decode_body<inner::reserve_request>(request)));
        }
        if (request.type == inner::message_type::cancel_request) {
            const auto cancel = *inner::decode_body<inner::cancel_request>(request);
            this->aborts += cancel.abort_running ? 1 : 0;
            const inner::ticket_state state = this->query_ticket(cancel.target).state;
            const bool ran = state == inner::ticket_state::running || state == inner::ticket_state::completed;
            return inner::to_payload(inner::cancel_response{ran ? inner::ticket_state::started : state});
        }
        if (request.type == inner::message_type::suspect_report) {
            ++this->suspects;
            return inner::to_payload(inner::suspect_ack{inner::decode_body<inner::suspect_report>(request)->event_id});
        }
        return inner::to_payload(inner::failure_response{error_kind::not_found, "not served"});
    }

    void handle_stream(const inner::packet& first, inner::frame_channel& channel) override {
        if (first.type == inner::message_type::outcome_request) {
            channel.send(this->query_ticket(inner::decode_body<inner::outcome_request>(first)->target));
            return;
        }
        const auto run = *inner::decode_body<inner::run_request>(first);
        const run_script script = this->next_script();
        if (script == run_script::drop_run) {
            return;
        }
        if (script == run_script::refuse || !this->begin_run(run)) {
            channel.send(inner::run_refused{run.granted, error_kind::ticket_refused, "refused"});
            return;
        }
        if (script == run_script::crash_while_queued || script == run_script::crash_after_queue) {
            this->crash_in_queue(run, script == run_script::crash_after_queue, channel);
            return;
        }
        this->serve_run(run, script, channel);
    }

  private:
    inner::reserve_response reserve(const inner::reserve_request& request) {
        ++this->reserves;
        const std::lock_guard lock{this->mutex};
        inner::reserve_response response;
        response.configuration_version = this->configuration_version;
        if (request.configuration_version < this->configuration_version) {
            response.refusal = error_kind::stale_configuration;
        } else if (this->refusal) {
            response.refusal = *this->refusal;
            response.retry_after_ms = 2500;
        } else {
            const ticket granted{this->incarnation, ++this->last_ticket};
            this->states[granted.number].state = inner::ticket_state::not_started;
            response.accepted = inner::offer{granted, 0, this->first_token_ms, 0, 0};
        }
        return response;
    }

    // Returns the ticket's state. A ticket that has not started becomes void.
    inner::outcome_response query_ticket(const ticket& target) {
        const std::lock_guard lock{this->mutex};
        const auto found = this->states.find(target.number);
        if (target.incarnation != this->incarnation || found == this->states.end()) {
            return {inner::ticket_state::unknown, std::nullopt};
        }
        found->second.voided = true;
        return {found->second.state, found->second.response};
    }

    run_script next_script() {
        const std::lock_guard lock{this->mutex};
        if (this->scripts.empty()) {
            return run_script::respond;
        }
        const run_script next = this->scripts.front();
        this->scripts.pop_front();
        return next;
    }

    bool begin_run(const inner::run_request& run) {
        const std::lock_guard lock{this->mutex};
        const auto found = this->states.find(run.granted.number);
        const bool found_ticket = run.granted.incarnation == this->incarnation && found != this->states.end();
        if (!found_ticket || found->second.voided || found->second.state != inner::ticket_state::not_started) {
            return false;
        }
        found->second.state = inner::ticket_state::running;
        this->latest = run;
        ++this->runs[run.reservation.digest];
        return true;
    }

    void end_run(const inner::run_request& run, const std::vector<std::string>& pieces, bool complete) {
        const std::lock_guard lock{this->mutex};
        ticket_record& record = this->states[run.granted.number];
        record.state = complete && run.keep_response ? inner::ticket_state::completed : inner::ticket_state::started;
        if (complete && run.keep_response) {
            std::string body;
            for (const std::string& piece : pieces) {
                body += piece;
            }
            record.response = inner::stored_response{200, "application/json", body};
        }
    }

    // Streams continue at token `resume_from`. Other responses echo the request's body, so that a test can verify which
    // request a response belongs to.
    static std::vector<std::string> pieces_of(const inner::run_request& run) {
        const auto body = nlohmann::json::parse(run.body, nullptr, false);
        if (!body.is_object() || !body.value("stream", false)) {
            const std::size_t half = run.body.size() / 2;
            return {"echo:", run.body.substr(0, half), run.body.substr(half)};
        }
        std::vector<std::string> pieces{"data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"};
        for (std::uint64_t token = body.value("resume_from", 0ULL); token < fake_tokens; ++token) {
            pieces.push_back("data: {\"choices\":[{\"delta\":{\"content\":\"t" + std::to_string(token) + "\"}}]}\n\n");
        }
        pieces.emplace_back("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n");
        return pieces;
    }

    void crash_in_queue(const inner::run_request& run, bool starts, inner::frame_channel& channel) {
        channel.send(inner::run_progress{run.granted, false});
        if (starts) {
            channel.send(inner::run_progress{run.granted, true});
        }
        const std::lock_guard lock{this->mutex};
        ++this->incarnation;
    }

    void serve_run(const inner::run_request& run, run_script script, inner::frame_channel& channel) {
        const std::vector<std::string> pieces = pieces_of(run);
        const bool stream = pieces.front().starts_with("data:");
        if (script == run_script::unresponsive) {
            std::this_thread::sleep_for(std::chrono::seconds{1});
        }
        if (script != run_script::break_before_head && script != run_script::unresponsive) {
            std::vector<inner::header_field> headers{
                {"Content-Type", stream ? "text/event-stream" : "application/json"}};
            headers.insert(headers.end(), this->more_headers.begin(), this->more_headers.end());
            channel.send(inner::run_head{run.granted, 200, headers});
            this->send_pieces(run, script, pieces, channel);
        }
        const bool complete = script == run_script::respond || script == run_script::complete_then_break ||
                              script == run_script::delayed_end;
        this->end_run(run, pieces, complete);
        if (script == run_script::crash) {
            const std::lock_guard lock{this->mutex};
            ++this->incarnation;
            return;
        }
        if (script == run_script::delayed_end) {
            std::this_thread::sleep_for(std::chrono::seconds{1});
        }
        if (script == run_script::endpoint_failure) {
            channel.send(inner::run_end{run.granted, 1, error_kind::endpoint_failed, "the endpoint died"});
        } else if (complete && script != run_script::complete_then_break) {
            channel.send(inner::run_end{run.granted, pieces.size(), std::nullopt, ""});
        } else if (script == run_script::skip_chunk || script == run_script::wrong_ticket ||
                   script == run_script::wrong_count) {
            channel.send(inner::run_end{run.granted, pieces.size() + 1, std::nullopt, ""});
        }
    }

    void send_pieces(const inner::run_request& run, run_script script, const std::vector<std::string>& pieces,
                     inner::frame_channel& channel) {
        const bool breaks = script == run_script::break_mid_response || script == run_script::crash ||
                            script == run_script::endpoint_failure;
        const std::size_t sent = breaks ? pieces.size() / 2 + 1 : pieces.size();
        for (std::size_t i = 0; i < sent; ++i) {
            ticket chunk_ticket = run.granted;
            chunk_ticket.number += script == run_script::wrong_ticket && i > 0 ? 1 : 0;
            if (script != run_script::skip_chunk || i != 1) {
                channel.send(inner::run_chunk{chunk_ticket, i, pieces[i]});
            }
        }
    }

    struct ticket_record {
        inner::ticket_state state{inner::ticket_state::not_started};
        bool voided{false};
        std::optional<inner::stored_response> response;
    };

    std::string name;
    system_clock time;
    std::mutex mutex;
    std::deque<run_script> scripts;
    std::optional<error_kind> refusal;
    std::uint64_t incarnation{1000};
    std::uint64_t last_ticket{0};
    std::map<std::uint64_t, ticket_record> states;
    std::map<std::string, int> runs;
    inner::run_request latest;
    inner::peer_listener listener;
};

} // namespace pomelohoist
