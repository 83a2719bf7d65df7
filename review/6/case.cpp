#include "../support-2/deployment.h"
#include "../support-2/server.h"

#include "platform/base64.h"

#include <nlohmann/json.hpp>

#include <exception>
#include <iostream>
#include <sstream>

/// Clients send a header whose value is text in an encoded word.
namespace pomelohoist::review {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr int notes = 40;     ///< requests with a note of two paragraphs
constexpr int forgeries = 10; ///< requests whose note contains another request
constexpr std::uint32_t deadline_ms = 4000;
const std::string own_tenant = "tenant-1"; ///< of the key that all clients send

struct run_request {
    std::string id;
    std::string tenant;
    std::string target;
    std::string body;
};

/// Runs each request that it reads. Thread-safe.
class order_server {
  public:
    explicit order_server(recorder& log)
        : record(log),
          http(serve_requests([this](channel& caller, const message& request) { return this->run(caller, request); })) {
    }
    [[nodiscard]] net_address address() const { return this->http.address(); }
    [[nodiscard]] std::vector<run_request> runs() {
        const std::lock_guard lock{this->mutex};
        return this->made;
    }
    void stop() { this->http.stop(); }

  private:
    bool run(channel& caller, const message& request) {
        if (!request.word(2).starts_with("HTTP/1.")) {
            this->record.line("server got no request: \"" + request.first_line + "\"");
            static_cast<void>(caller.send("HTTP/1.1 400 Bad Request\r\nX-Pomelohoist-Not-Executed: 1\r\n"
                                          "Connection: close\r\nContent-Length: 0\r\n\r\n"));
            return false;
        }
        run_request next{request.header("x-pomelohoist-attempt-id"), request.header("x-pomelohoist-tenant"),
                         request.word(1), request.body};
        std::ostringstream note;
        note << "server runs " << next.id << ' ' << next.target << " tenant \"" << next.tenant << "\" body \""
             << next.body << '"';
        this->record.line(note.str());
        {
            const std::lock_guard lock{this->mutex};
            this->made.push_back(std::move(next));
        }
        return caller.send(make_response(request, 200, "ordered"));
    }

    recorder& record;
    std::mutex mutex;
    std::vector<run_request> made;
    server http;
};

std::string encoded_word(const std::string& text) {
    return "=?UTF-8?B?" + encode_base64(text) + "?=";
}

/// @returns the text of a note of two paragraphs, or of one line
std::string note_text(int number) {
    const std::string text = "Please ring twice, order " + std::to_string(number);
    return has_trouble() ? text + "\r\n\r\nThe bell is out of order." : text + ". The bell is out of order.";
}

/// @returns a note that contains a request of another tenant, or the same words in one line
std::string forged_text(int number) {
    const std::string id = "never-sent-" + std::to_string(number);
    const std::string text = "x\r\nContent-Length: 0\r\n\r\nPOST /order/forged HTTP/1.1\r\nHost: desk.example\r\n"
                             "X-Pomelohoist-Attempt-Id: " +
                             id + "\r\nX-Pomelohoist-Tenant: tenant-2\r\nContent-Length: 0\r\n\r\n";
    return has_trouble() ? text : "x, no request " + id;
}

std::string config_of_two_tenants() {
    json config = json::parse(config_json(3, {route_json("/order/", "unsafe", "orders", deadline_ms, 2)}, {"orders"}));
    config["tenants"].push_back({{"name", "tenant-2"}, {"api_keys", json::array({"key-2"})}, {"priority", 1}});
    return config.dump();
}

/// Sends one order on a new connection.
void send_order(const net_address& front, const std::string& id, const std::string& note, recorder& record) {
    std::optional<channel> made = channel::connect(front, 1s);
    const std::string body = "body of " + id;
    const std::string fields = "X-Note: " + note + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!made || !made->send(request_head("POST", "/order/x", id, deadline_ms, fields) + body)) {
        return;
    }
    read_end end = read_end::bytes;
    const std::optional<message> response = read_message(*made, steady::now() + 5s, end);
    std::ostringstream got;
    got << "client sent " << id << " with key of " << own_tenant << ", body \"" << body << "\", note " << note
        << ": status " << (response ? response->status() : 0);
    record.line(got.str());
}

verdict run() {
    recorder record{"review/6/record.txt"};
    const std::string work = make_work_folder();
    test_support::row_store store;
    store.put("op", "config", config_of_two_tenants());
    order_server orders{record};
    put_server(store, "i-one", "orders", orders.address(), 6);
    entry front{work, "front-a-1", store.address()};
    if (!front.start()) {
        record.line("the entry did not start");
        return verdict::not_run;
    }
    for (int i = 0; i < notes; ++i) {
        send_order(front.http, "order-" + std::to_string(i), encoded_word(note_text(i)), record);
    }
    for (int i = 0; i < forgeries; ++i) {
        send_order(front.http, "forger-" + std::to_string(i), encoded_word(forged_text(i)), record);
    }
    std::this_thread::sleep_for(500ms);
    orders.stop();
    int changed = 0;
    int foreign = 0;
    int unsent = 0;
    for (const run_request& each : orders.runs()) {
        const bool is_sent = each.id.starts_with("order-") || each.id.starts_with("forger-");
        unsent += is_sent ? 0 : 1;
        changed += is_sent && each.body != "body of " + each.id ? 1 : 0;
        foreign += each.tenant != own_tenant ? 1 : 0;
    }
    std::ostringstream summary;
    summary << "UNASKED: of " << orders.runs().size() << " runs, " << changed
            << " had another body than the client sent, " << foreign << " another tenant than the key's, " << unsent
            << " an id that no client sent";
    record.line(summary.str());
    std::cout << summary.str() << '\n';
    if (orders.runs().size() < notes) {
        return verdict::not_run;
    }
    return changed + foreign + unsent > 0 ? verdict::broken : verdict::held;
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
