#include "../http_host.h"
#include "lock_step.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace standin {
namespace {

using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

pomelohoist::net_address parse_address(const json& text) {
    const auto address = pomelohoist::net_address::parse(text.get<std::string>());
    if (!address) {
        throw std::invalid_argument("an address is IP:PORT");
    }
    return *address;
}

class rank_host {
  public:
    explicit rank_host(const rank_options& options) : barrier(options.shape.ranks), steps(options) {}

    void serve(HTTPServerRequest& request, HTTPServerResponse& response) {
        try {
            const std::string route = request.getMethod() + " " + request.getURI();
            if (route == "GET /health") {
                send_text(response, status_ok, json_type, json{{"status", "ok"}, {"boot_id", "rank"}}.dump());
            } else if (route == "PUT /standin/start") {
                const json body = json::parse(read_body(request));
                this->steps.start({parse_address(body.at("agent")), parse_address(body.at("root"))});
                send_text(response, status_ok, json_type, "{}");
            } else if (route == "POST /barrier") {
                const json body = json::parse(read_body(request));
                const bool is_passed =
                    this->barrier.arrive(body.at("rank").get<std::uint32_t>(), body.at("steps").get<std::uint64_t>());
                send_text(response, is_passed ? status_ok : status_conflict, json_type, "{}");
            } else {
                send_text(response, status_not_found, json_type, "{}");
            }
        } catch (const Poco::Exception&) {
            // The client has disconnected; no response can be sent.
            return;
        } catch (const std::exception& error) {
            send_text(response, status_bad_request, json_type, json{{"error", error.what()}}.dump());
        }
    }

  private:
    step_barrier barrier;
    lock_step steps;
};

int run(int argc, char** argv) {
    cxxopts::Options arguments{"standin-rank", "Stand-in for a rank of a lock-step group, for tests"};
    const auto number = [](const char* default_value) {
        return cxxopts::value<std::uint32_t>()->default_value(default_value);
    };
    arguments.add_options()("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "rank", "rank of this process", number("0"))("ranks", "ranks of the group", number("1"))(
        "experts", "experts per layer", number("16"))("layers", "layers with experts", number("2"))(
        "slots-per-rank", "expert slots in each layer", number("3"))("step-ms", "time of a step", number("1"))(
        "shift-steps", "steps after which other experts become popular",
        number("100"))("journal", "file that a line is appended to for each step",
                       cxxopts::value<std::string>()->default_value("/dev/null"))("help", "show this text");
    const auto parsed = arguments.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << arguments.help();
        return EXIT_SUCCESS;
    }
    const auto count = [&parsed](const char* name) { return parsed[name].as<std::uint32_t>(); };
    rank_options options{count("rank"),
                         {count("ranks"), count("experts"), count("layers"), count("slots-per-rank")},
                         count("step-ms"),
                         count("shift-steps"),
                         parsed["journal"].as<std::string>()};
    if (options.shape.slots_per_layer() < options.shape.experts || options.shift_steps == 0) {
        throw std::invalid_argument("too few slots for the experts, or no --shift-steps");
    }
    rank_host served{options};
    return serve_until_signal(parsed["listen"].as<std::string>(),
                              [&served](auto& request, auto& response) { served.serve(request, response); });
}

} // namespace
} // namespace standin

int main(int argc, char** argv) {
    return standin::run_standin("standin-rank", [=] { return standin::run(argc, argv); });
}
