#include "../http_host.h"
#include "../request_counts.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <Poco/UUIDGenerator.h>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <mutex>
#include <thread>
#include <unistd.h>

/// Stand-in for a plain service. It echoes method, path and body digest, and counts the runs by idempotency key and by
/// request id.
namespace standin {
namespace {

using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

struct service_faults {
    std::uint32_t delay_ms{0};
    std::string crash_marker; ///< a body with this text ends the process with status 1 after the request is counted
    int fail_status{0};       ///< status of all responses; 0 for 200
};

std::string digest_of(const std::string& body) {
    Poco::SHA2Engine hash{Poco::SHA2Engine::SHA_256};
    hash.update(body);
    return Poco::DigestEngine::digestToHex(hash.digest());
}

class service {
  public:
    service(service_faults initial, const std::string& journal_path)
        : faults(std::move(initial)), boot_id(Poco::UUIDGenerator::defaultGenerator().createRandom().toString()),
          counts(journal_path) {}

    void serve(HTTPServerRequest& request, HTTPServerResponse& response) {
        try {
            const std::string route = request.getMethod() + " " + request.getURI();
            if (route == "GET /health") {
                send_text(response, status_ok, json_type, json{{"status", "ok"}, {"boot_id", this->boot_id}}.dump());
            } else if (route == "GET /standin/counts") {
                send_text(response, status_ok, json_type, this->counts.to_json().dump());
            } else if (route == "PUT /standin/faults") {
                this->set_faults(json::parse(read_body(request)));
                send_text(response, status_ok, json_type, "{}");
            } else {
                this->echo(request, response);
            }
        } catch (const json::exception& error) {
            send_text(response, status_bad_request, json_type, json{{"error", error.what()}}.dump());
        } catch (const Poco::Exception&) {
            // The client has disconnected; no response can be sent.
            return;
        }
    }

  private:
    void set_faults(const json& body) {
        const std::lock_guard lock{this->mutex};
        this->faults.delay_ms = body.value("delay_ms", 0U);
        this->faults.crash_marker = body.value("crash_marker", "");
        this->faults.fail_status = body.value("fail_status", 0);
    }

    service_faults active_faults() {
        const std::lock_guard lock{this->mutex};
        return this->faults;
    }

    void echo(HTTPServerRequest& request, HTTPServerResponse& response) {
        const std::string body = read_body(request);
        const service_faults active = this->active_faults();
        this->counts.add("requests", request.get("X-Request-Id", "none"));
        if (request.has("Idempotency-Key")) {
            this->counts.add("keys", request.get("Idempotency-Key"));
        }
        if (!active.crash_marker.empty() && body.find(active.crash_marker) != std::string::npos) {
            _exit(1);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{active.delay_ms});
        this->counts.add("finished", request.get("X-Request-Id", "none"));
        const json echoed{
            {"method", request.getMethod()}, {"path", request.getURI()}, {"body_sha256", digest_of(body)}};
        send_text(response, active.fail_status == 0 ? status_ok : active.fail_status, json_type, echoed.dump());
    }

    std::mutex mutex;
    service_faults faults;
    std::string boot_id;
    request_counts counts;
};

int run(int argc, char** argv) {
    cxxopts::Options arguments{"standin-service", "Stand-in for a plain service, for tests"};
    arguments.add_options()("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "delay-ms", "time per request", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "crash-marker", "a body with this text ends the process with status 1",
        cxxopts::value<std::string>()->default_value(""))("journal", "file that each count is appended to",
                                                          cxxopts::value<std::string>()->default_value(""))(
        "help", "show this text");
    const auto parsed = arguments.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << arguments.help();
        return EXIT_SUCCESS;
    }
    service served{{parsed["delay-ms"].as<std::uint32_t>(), parsed["crash-marker"].as<std::string>(), 0},
                   parsed["journal"].as<std::string>()};
    return serve_until_signal(parsed["listen"].as<std::string>(),
                              [&served](auto& request, auto& response) { served.serve(request, response); });
}

} // namespace
} // namespace standin

int main(int argc, char** argv) {
    return standin::run_standin("standin-service", [=] { return standin::run(argc, argv); });
}
