#include "../support-2/deployment.h"
#include "../support-2/server.h"

#include <atomic>
#include <csignal>
#include <exception>
#include <iostream>
#include <thread>

/// The weights of a model server change while streams run.
namespace pomelohoist::review {
namespace {

using namespace std::chrono_literals;

constexpr int clients = 8;
constexpr int events_in_stream = 28;
constexpr std::chrono::milliseconds pause_between_events{50};
constexpr std::uint32_t deadline_ms = 8000;
constexpr std::chrono::milliseconds config_apply{2000}; ///< `config_apply_ms` of the sites
constexpr int allowed_losses = 3;                       ///< of requests from kept channels

/// Streams events and names its weights' version as the pages say.
class model_server {
  public:
    model_server(std::string name, recorder& log)
        : id(std::move(name)), record(log), http(serve_requests([this](channel& caller, const message& request) {
              return this->stream(caller, request);
          })) {}
    [[nodiscard]] net_address address() const { return this->http.address(); }
    void update_weights() { ++this->version; }
    void stop() { this->http.stop(); }
    [[nodiscard]] int cut() const { return this->cut_streams; }

  private:
    bool stream(channel& caller, const message& request) {
        if (request.word(1) == "/health") {
            return caller.send(make_response(request, 200, "ok", "X-Pomelohoist-Instance-Id: " + this->id + "\r\n"));
        }
        const std::string request_id = request.header("x-pomelohoist-attempt-id");
        int used = this->version;
        this->record.line(this->id + " runs " + request_id + " with weights " + std::to_string(used));
        if (!caller.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pomelohoist-Attempt-Id: " +
                         request_id + "\r\nX-Pomelohoist-Response-Stamp: stamp-" + request_id +
                         "\r\nX-Pomelohoist-Weight-Versions: " + std::to_string(used) +
                         "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for (int i = 1; i <= events_in_stream; ++i) {
            std::this_thread::sleep_for(pause_between_events);
            std::string event;
            if (const int newest = this->version; newest != used) {
                used = newest;
                event = "x-pomelohoist-weight-versions: " + std::to_string(used) + "\n";
                this->record.line(this->id + " event " + std::to_string(i) + " of " + request_id + " names weights " +
                                  std::to_string(used));
            }
            event += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + " of " + request_id + "\n\n";
            if (!this->send_chunk(caller, event)) {
                ++this->cut_streams;
                this->record.line(this->id + " was cut off at event " + std::to_string(i) + " of " + request_id);
                return false;
            }
        }
        this->record.line(this->id + " has sent all of " + request_id);
        return caller.send("0\r\n\r\n");
    }

    /// @returns false when the connection has ended
    bool send_chunk(channel& caller, const std::string& data) {
        std::ostringstream size;
        size << std::hex << data.size();
        const read_end end = caller.receive(0ms);
        return (end == read_end::bytes || end == read_end::timed_out) &&
               caller.send(size.str() + "\r\n" + data + "\r\n");
    }

    const std::string id;
    recorder& record;
    std::atomic<int> version{1};
    std::atomic<int> cut_streams{0};
    server http;
};

/// What the clients have seen.
struct tally {
    std::atomic<int> whole{0};
    std::atomic<int> failed{0};         ///< ended with an answer of the entry's own
    std::atomic<int> lost_kept{0};      ///< from a kept channel, which ended without a complete answer
    std::atomic<int> lost_after_hup{0}; ///< of those sent up to `config_apply` after a SIGHUP and cut after it
    std::atomic<bool> is_ending{false};
};

/// Sends streams one after the other on a channel that it keeps.
void call_repeatedly(int number, const net_address& front, const std::atomic<steady::time_point>& reloaded_at,
                     recorder& record, tally& seen) {
    std::optional<channel> kept;
    int answered_on_channel = 0;
    for (int i = 0; !seen.is_ending; ++i) {
        if (!kept) {
            kept = channel::connect(front, 1s);
            answered_on_channel = 0;
        }
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
        const std::string more = "X-Pomelohoist-Model: m\r\nX-Pomelohoist-Token-Counts: 700,140\r\n"
                                 "X-Pomelohoist-Prefix-Hash: 5c1e07a2:40," +
                                 std::to_string(number * 1000 + i) + ":660\r\nContent-Length: 6\r\n";
        const steady::time_point sent_at = steady::now();
        if (!kept || !kept->send(request_head("POST", "/draft/x", id, deadline_ms, more) + "prompt")) {
            kept.reset();
            continue;
        }
        read_end end = read_end::bytes;
        const std::optional<message> response = read_message(*kept, sent_at + 9s, end);
        if (response && response->complete) {
            ++(response->status() == 200 ? seen.whole : seen.failed);
            ++answered_on_channel;
            record.line("client " + id + " got " + std::to_string(response->status()) + ", complete");
            continue;
        }
        const steady::time_point reloaded = reloaded_at;
        const bool is_after_reload = sent_at >= reloaded && sent_at <= reloaded + config_apply;
        seen.lost_kept += answered_on_channel > 0 ? 1 : 0;
        seen.lost_after_hup += is_after_reload ? 1 : 0;
        record.line("client " + id + " got no complete answer, the channel " +
                    (end == read_end::timed_out ? "is silent" : "has ended") +
                    "; kept channel: " + (answered_on_channel > 0 ? "yes" : "no") +
                    ", sent after SIGHUP: " + (is_after_reload ? "yes" : "no"));
        kept.reset();
    }
}

verdict run() {
    recorder record{"review/10/record.txt"};
    const std::string work = make_work_folder();
    test_support::row_store store;
    store.put("op", "config", config_json(3, {route_json("/draft/", "streaming", "llm", deadline_ms, 2)}, {"llm"}));
    model_server first{"i-one", record};
    model_server second{"i-two", record};
    entry front{work, "front-a-1", store.address()};
    const auto beat = [&] {
        put_server(store, "i-one", "llm", first.address(), 12);
        put_server(store, "i-two", "llm", second.address(), 12);
    };
    beat();
    if (!front.start()) {
        record.line("the entry did not start");
        return verdict::not_run;
    }
    tally seen;
    std::atomic<steady::time_point> reloaded_at{steady::time_point{}};
    std::vector<std::thread> callers;
    callers.reserve(clients);
    for (int i = 0; i < clients; ++i) {
        callers.emplace_back([&, i] { call_repeatedly(i, front.http, reloaded_at, record, seen); });
    }
    for (int second_of_run = 1; second_of_run <= 20; ++second_of_run) {
        std::this_thread::sleep_for(1s);
        beat();
        if (second_of_run % 5 == 0 && second_of_run < 20) {
            reloaded_at = steady::now();
            ::kill(front.process().id(), SIGHUP);
            record.line("SIGHUP to the entry");
        }
        if (second_of_run % 5 == 1 && second_of_run > 1 && has_trouble()) {
            first.update_weights();
            second.update_weights();
            record.line("the weights of both servers change");
        }
    }
    seen.is_ending = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    first.stop();
    second.stop();
    const std::string summary =
        "LOST: " + std::to_string(seen.lost_kept) + " requests from kept channels passed on to sound servers ended " +
        "with their channel and no complete answer (allowed " + std::to_string(allowed_losses) + "); " +
        std::to_string(seen.lost_after_hup) + " of those sent up to 2 s after a SIGHUP (allowed 0); " +
        std::to_string(seen.whole) + " whole answers, " + std::to_string(seen.failed) + " failures";
    record.line(summary);
    std::cout << summary << '\n';
    return seen.lost_kept > allowed_losses || seen.lost_after_hup > 0 ? verdict::broken : verdict::held;
}

} // namespace
} // namespace pomelohoist::review

int main() {
    try {
        return static_cast<int>(pomelohoist::review::run());
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return static_cast<int>(pomelohoist::review::verdict::not_run);
    }
}
