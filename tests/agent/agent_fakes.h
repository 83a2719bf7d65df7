#pragma once

#include "agent/agent_handler.h"
#include "agent/agent_wiring.h"
#include "agent/peer_suspect_publisher.h"
#include "common/digest.h"
#include "inner/peer_listener.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

/// Fakes of the interfaces that the agent uses, and a test fixture: an agent on loopback sockets with these fakes.
namespace pomelohoist {

/// Waits until the condition is true, for at most ten seconds.
template <class Condition> bool eventually(const Condition& condition) {
    constexpr int attempts = 2000;
    for (int i = 0; i < attempts && !condition(); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return condition();
}

/// Two endpoints "e1" and "e2" that serve the same model; one selector matches endpoints with the label state=up.
inline configuration_ptr make_test_configuration(std::uint64_t version, const net_address& first,
                                                 const net_address& second, const std::string& state = "up") {
    object_map objects;
    objects[{object_kind::workspace, "w"}].values = {{"key_sha256", sha256_hex("key")}, {"weight", "1"}};
    objects[{object_kind::application, "a"}].values = {};
    objects[{object_kind::selector, "s"}].values = {
        {"workspaces", "*"}, {"applications", "*"}, {"endpoints", "state=up"}};
    for (const auto& [name, agent] : {std::pair{"e1", first}, std::pair{"e2", second}}) {
        objects[{object_kind::endpoint, name}].values = {{"kind", "model"},    {"agent", agent.to_string()},
                                                         {"data_centre", "d"}, {"host", std::string{"h-"} + name},
                                                         {"serves", "llm"},    {"label.state", state}};
    }
    const result<configuration> built = configuration::build(version, objects);
    EXPECT_TRUE(built) << built.last_error().reason;
    return std::make_shared<const configuration>(built ? *built : configuration{});
}

class fake_source : public configuration_source {
  public:
    [[nodiscard]] configuration_ptr current() const override {
        const std::lock_guard lock{this->mutex};
        return this->current_configuration;
    }
    result<done> pull_from(const net_address& peer, std::uint64_t /*version*/) override {
        const std::lock_guard lock{this->mutex};
        this->pulled_from = peer;
        if (!this->peer_configuration) {
            return failure{error_kind::unreachable, "no such peer"};
        }
        this->current_configuration = this->peer_configuration;
        return done{};
    }
    [[nodiscard]] bool is_leaving(const std::string& host) const override { return this->leaving && host == "h-e1"; }
    [[nodiscard]] std::uint64_t host_list_version() const override { return 1; }
    inner::announce_response handle_announce(const inner::announce& /*received*/) override {
        return {this->current()->version(), 1};
    }
    inner::pull_response handle_pull(const inner::pull_request& /*received*/) override {
        return {this->current()->version(), {}, "", 1, {}};
    }

    void set(const configuration_ptr& next) {
        const std::lock_guard lock{this->mutex};
        this->current_configuration = next;
    }

    void set_peer_configuration(const configuration_ptr& next) {
        const std::lock_guard lock{this->mutex};
        this->peer_configuration = next;
    }
    net_address last_pulled_from() {
        const std::lock_guard lock{this->mutex};
        return this->pulled_from;
    }

    std::atomic<bool> leaving{false};

  private:
    mutable std::mutex mutex;
    configuration_ptr peer_configuration;
    net_address pulled_from;
    configuration_ptr current_configuration{std::make_shared<const configuration>()};
};

/// An endpoint whose runs block until the test sets `released` or `broken`.
class fake_driver : public endpoint_driver {
  public:
    endpoint_report run(const endpoint_request& request, endpoint_sink& sink, abort_signal& signal) override {
        sink.on_send();
        std::unique_lock lock{this->mutex};
        ++this->starts;
        ++this->starts_by_request[request.headers.back().value];
        this->last_request = request;
        signal.attach([this] { this->changed.notify_all(); });
        // The attached callback runs under the signal's mutex and cannot lock the driver's mutex. The wait below can
        // therefore miss the notification and has a timeout.
        while (!this->released && !this->broken && !signal.is_aborted()) {
            this->changed.wait_for(lock, std::chrono::milliseconds{5});
        }
        lock.unlock();
        signal.detach();
        if (signal.is_aborted()) {
            ++this->aborts;
            return {run_outcome::aborted, "aborted"};
        }
        if (this->broken) {
            return {run_outcome::broken, "connection lost"};
        }
        const bool is_accepted =
            sink.on_head(200, {{"Content-Type", "text/plain"}}) && sink.on_data("first ") && sink.on_data("second");
        return {is_accepted ? run_outcome::completed : run_outcome::aborted, ""};
    }
    result<endpoint_health> check_health() override {
        if (!this->healthy) {
            return failure{error_kind::not_ready, "connection refused"};
        }
        return endpoint_health{"boot-" + std::to_string(this->boots)};
    }

    /// @param request_id sent as X-Request-Id
    int starts_of(const std::string& request_id) {
        const std::lock_guard lock{this->mutex};
        return this->starts_by_request[request_id];
    }

    std::atomic<bool> released{false};
    std::atomic<bool> broken{false};
    std::atomic<bool> healthy{true};
    std::atomic<int> boots{1};
    std::atomic<int> starts{0};
    std::atomic<int> aborts{0};

    endpoint_request latest() {
        const std::lock_guard lock{this->mutex};
        return this->last_request;
    }

  private:
    std::mutex mutex;
    endpoint_request last_request;
    std::condition_variable changed;
    std::map<std::string, int> starts_by_request;
};

/// A second agent that only receives suspect reports.
class suspect_receiver : public inner::datagram_handler {
  public:
    inner::payload handle_datagram(const inner::packet& request) override {
        const result<inner::suspect_report> report = inner::decode_body<inner::suspect_report>(request);
        if (report) {
            ++this->reports;
        }
        return inner::to_payload(inner::suspect_ack{report ? report->event_id : ""});
    }
    std::atomic<int> reports{0};
};

/// An agent with one slot.
class agent_test : public testing::Test {
  public:
    ~agent_test() override {
        this->driver.released = true;
        this->listener.stop();
    }

  protected:
    static constexpr std::chrono::milliseconds call_timeout{3000};

    agent_test() {
        std::signal(SIGPIPE, SIG_IGN);
        this->peer.start(&this->receiver);
        this->client.start(nullptr);
        this->declare(5, "up");
        this->monitor.check();
        this->listener.start(this->handler, this->handler);
    }

    void declare(std::uint64_t version, const std::string& state) {
        this->source.set(
            make_test_configuration(version, this->listener.local_address(), this->peer.local_address(), state));
    }

    inner::reserve_request make_request(const std::string& id) {
        inner::reserve_request request;
        request.request_id = id;
        request.workspace = "w";
        request.application = "a";
        request.configuration_version = 5;
        request.sender_address = this->client.local_address();
        request.digest = "digest-" + id;
        request.deadline_ms = 20000;
        return request;
    }

    inner::reserve_response reserve(const inner::reserve_request& request) {
        const auto response = inner::call_datagram<inner::reserve_response>(
            this->client, this->listener.local_address(), request, call_timeout);
        EXPECT_TRUE(response) << response.last_error().reason;
        return response ? *response : inner::reserve_response{};
    }

    error_kind refusal(const inner::reserve_request& request) {
        const inner::reserve_response response = this->reserve(request);
        return response.accepted ? error_kind::count : response.refusal;
    }

    ticket reserve_ticket(const inner::reserve_request& request) {
        const inner::reserve_response response = this->reserve(request);
        EXPECT_TRUE(response.accepted) << response.reason;
        return response.accepted ? response.accepted->granted : ticket{};
    }

    inner::frame_channel run(const ticket& id, const inner::reserve_request& reservation) {
        auto channel = inner::frame_channel::connect(this->listener.local_address(), "entry", call_timeout);
        EXPECT_TRUE(channel);
        inner::run_request request;
        request.granted = id;
        request.reservation = reservation;
        request.method = "POST";
        request.path = "/x";
        request.body = "body";
        EXPECT_TRUE(channel->send(request));
        return *channel;
    }

    inner::ticket_state cancel(const ticket& id, bool abort_running = false) {
        const auto response = inner::call_datagram<inner::cancel_response>(
            this->client, this->listener.local_address(), inner::cancel_request{id, abort_running}, call_timeout);
        return response ? response->state : inner::ticket_state::count;
    }

    inner::outcome_response outcome(const ticket& id) {
        const auto response = inner::call_stream<inner::outcome_response>(this->listener.local_address(), "entry",
                                                                          inner::outcome_request{id}, call_timeout);
        EXPECT_TRUE(response);
        return response ? *response : inner::outcome_response{};
    }

    /// @returns the next message, which must be of type `Message`; skips `run_progress` unless it is the expected type
    template <class Message> Message expect(inner::frame_channel& channel) {
        result<inner::packet> received = channel.receive(call_timeout);
        while (received && received->type == inner::message_type::run_progress &&
               Message::type != inner::message_type::run_progress) {
            received = channel.receive(call_timeout);
        }
        EXPECT_TRUE(received) << received.last_error().reason;
        const result<Message> decoded = received ? inner::decode_body<Message>(*received) : received.last_error();
        EXPECT_TRUE(decoded) << decoded.last_error().reason;
        return decoded ? *decoded : Message{};
    }

    system_clock time;
    seeded_random random{1};
    structured_log log{make_null_log()};
    null_span_exporter spans;
    metrics_registry metrics;
    daemon_context context{time, random, log, spans, metrics};
    fake_source source;
    fake_driver driver;
    fencing_gate gate;
    suspect_receiver receiver;
    inner::datagram_endpoint peer{{"127.0.0.1", 0}, "agent-2", time};
    inner::datagram_endpoint client{{"127.0.0.1", 0}, "entry", time};
    inner::peer_listener listener{{"127.0.0.1", 0}, "agent-1", time};
    ticket_table tickets{time, 99};
    load_model load{time, {1, 10.0, 0.1}};
    suspect_list suspects{time};
    peer_suspect_publisher publisher{listener.calls(), source, "e1"};
    crash_monitor monitor{driver, suspects, publisher, "agent-1-99", log};
    run_scheduler scheduler{time, 1, tickets, load, suspects, monitor};
    completed_responses responses{time};
    run_watch watch;
    agent_handler handler{{context, tickets, scheduler, responses, driver, monitor, watch, gate, source},
                          {"agent-1", "e1", "d", "h-e1"},
                          source,
                          suspects};
};

} // namespace pomelohoist
