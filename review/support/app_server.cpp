#include "app_server.h"

#include <thread>
#include <utility>

namespace review {

namespace {

constexpr auto idle_time = std::chrono::seconds{20};
constexpr auto dark_check_interval = std::chrono::milliseconds{10};

} // namespace

void run_log::add(const server_run& run) {
    {
        const std::lock_guard lock{this->mutex};
        this->all.push_back(run);
    }
    this->record.add("run      " + run.request_id + " at " + run.server + ": " + run.start_line + ", body of " +
                     std::to_string(run.body_bytes) + " bytes");
}

std::vector<server_run> run_log::runs() const {
    const std::lock_guard lock{this->mutex};
    return this->all;
}

app_server::app_server(std::string instance, const std::string& ip, run_log& shared_log, server_options chosen)
    : id(std::move(instance)), log(shared_log), options(chosen),
      server(std::make_unique<listener>(
          address{ip, 0}, [this](connection& caller) { this->serve(caller); }, chosen.receive_buffer_bytes)) {}

void app_server::wait_while_dark() const {
    while (this->dark) {
        std::this_thread::sleep_for(dark_check_interval);
    }
}

std::string app_server::answer_to(const http_message& request) const {
    const std::string request_id = request.field("X-Pomelohoist-Attempt-Id");
    const std::string body = "done " + request_id;
    return "HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: " + request_id + "\r\nX-Pomelohoist-Response-Stamp: 3e1b." +
           request_id + "\r\nKeep-Alive: timeout=20\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

void app_server::serve(connection& caller) {
    http_reader reader{caller};
    while (true) {
        this->wait_while_dark();
        const auto request = reader.read(std::chrono::steady_clock::now() + idle_time);
        this->wait_while_dark();
        if (!request || !request->is_complete) {
            return;
        }
        const std::string expected = request->field("X-Pomelohoist-Expect-Instance");
        if (!expected.empty() && expected != this->id) {
            if (!caller.send_all("HTTP/1.1 421 Misdirected Request\r\nX-Pomelohoist-Instance-Id: " + this->id +
                                 "\r\nContent-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        this->log.add({this->id, request->field("X-Pomelohoist-Attempt-Id"), request->start_line,
                       request->body.substr(0, kept_body_bytes), request->body.size()});
        std::this_thread::sleep_for(this->options.work);
        this->wait_while_dark();
        if (!caller.send_all(this->answer_to(*request))) {
            return;
        }
    }
}

} // namespace review
