#include "platform_state.h"

#include "common/listen_socket.h"

#include <pomelohoist/types.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <pthread.h>
#include <thread>

/// Stand-in for the platform: table service (etcd v3 JSON), object store, weight store and host list over HTTP.
namespace pomelohoist::standin {
namespace {

using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using status = Poco::Net::HTTPResponse::HTTPStatus;

constexpr int max_threads = 512;
constexpr int max_queued = 1024;
constexpr int min_threads = 8;
const std::string objects_path = "/objects/";
const std::string weights_path = "/weights/";
const std::string control_path = "/standin/";

struct platform_response {
    status code{status::HTTP_OK};
    std::string body;
    std::string content_type{"application/json"};
    bool is_write{false};
};

class platform_handler : public Poco::Net::HTTPRequestHandler {
  public:
    explicit platform_handler(platform_state& served_state) : state(served_state) {}

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
        const std::string path = Poco::URI{request.getURI()}.getPath();
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        const bool is_control = path.starts_with(control_path);
        if (!is_control && this->is_failing(request, response)) {
            return;
        }
        platform_response outcome;
        try {
            outcome = this->dispatch(request.getMethod(), path, body);
        } catch (const std::exception& error) {
            outcome = {status::HTTP_BAD_REQUEST, json{{"error", error.what()}}.dump()};
        }
        if (outcome.is_write && !is_control && this->state.loses_response()) {
            close_connection(request, response);
            return;
        }
        response.setStatusAndReason(outcome.code);
        response.setContentType(outcome.content_type);
        if (outcome.code == status::HTTP_TOO_MANY_REQUESTS) {
            response.set("Retry-After", "1");
        }
        response.sendBuffer(outcome.body.data(), outcome.body.size());
    }

  private:
    bool is_failing(HTTPServerRequest& request, HTTPServerResponse& response) {
        const fault_switches faults = this->state.faults();
        if (faults.slow_ms > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds{faults.slow_ms});
        }
        if (faults.down.empty()) {
            return false;
        }
        if (faults.down == "503") {
            response.setStatusAndReason(status::HTTP_SERVICE_UNAVAILABLE);
            response.setContentLength(0);
            response.send();
        } else {
            close_connection(request, response);
        }
        return true;
    }

    static void close_connection(HTTPServerRequest& request, HTTPServerResponse& response) {
        response.setKeepAlive(false);
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
    }

    platform_response dispatch(const std::string& method, const std::string& path, const std::string& body) {
        if (method == "POST" && path == "/v3/kv/range") {
            return {status::HTTP_OK, this->state.range(json::parse(body)).dump()};
        }
        if (method == "POST" && path == "/v3/kv/txn") {
            return {status::HTTP_OK, this->state.txn(json::parse(body)).dump(), "application/json", true};
        }
        if (path.starts_with(objects_path)) {
            return this->serve_object(method, path.substr(objects_path.size()), body);
        }
        if (method == "POST" && path.starts_with(weights_path)) {
            const bool is_accepted = this->state.request_weights();
            return {is_accepted ? status::HTTP_OK : status::HTTP_TOO_MANY_REQUESTS, "{}", "application/json",
                    is_accepted};
        }
        if (method == "GET" && path == "/hosts") {
            return {status::HTTP_OK, this->state.visible_hosts().dump()};
        }
        return this->serve_control(method, path, body);
    }

    platform_response serve_object(const std::string& method, const std::string& name, const std::string& body) {
        if (method == "PUT") {
            this->state.put_object(name, body);
            return {status::HTTP_OK, "", "application/octet-stream", true};
        }
        const std::optional<std::string> content = this->state.get_object(name);
        if (method != "GET" || !content) {
            return {status::HTTP_NOT_FOUND, ""};
        }
        return {status::HTTP_OK, *content, "application/octet-stream"};
    }

    platform_response serve_control(const std::string& method, const std::string& path, const std::string& body) {
        if (method == "PUT" && path == "/standin/hosts") {
            this->state.set_hosts(json::parse(body));
            return {status::HTTP_OK, "{}"};
        }
        if (method == "PUT" && path == "/standin/faults") {
            this->state.set_faults(json::parse(body));
            return {status::HTTP_OK, "{}"};
        }
        if (method == "GET" && path == "/standin/counts") {
            return {status::HTTP_OK, this->state.counts().dump()};
        }
        return {status::HTTP_NOT_FOUND, "{}"};
    }

    platform_state& state;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    explicit handler_factory(platform_state& served_state) : state(served_state) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest& /*request*/) override {
        return new platform_handler{this->state};
    }

  private:
    platform_state& state;
};

int serve_until_signal(const net_address& local, platform_state& state) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const Poco::Net::ServerSocket socket = bind_listener(local, max_queued);
    Poco::ThreadPool pool{min_threads, max_threads};
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(max_threads);
    params->setMaxQueued(max_queued);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    Poco::Net::HTTPServer server{new handler_factory{state}, pool, socket, params};
    server.start();
    std::cout << "ready http=" << net_address{local.ip, socket.address().port()}.to_string() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    server.stopAll(true);
    return 0;
}

} // namespace
} // namespace pomelohoist::standin

int main(int argc, char** argv) {
    cxxopts::Options options{"standin-platform", "Stand-in for the platform's services"};
    options.add_options()("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "weight-rate", "weight orders per second", cxxopts::value<double>()->default_value("100"))(
        "host-lag-ms", "lag of the host list", cxxopts::value<std::uint32_t>()->default_value("500"))(
        "seed", "seed of the faults", cxxopts::value<std::uint64_t>()->default_value("1"))("help", "print this text");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        const auto local = pomelohoist::net_address::parse(arguments["listen"].as<std::string>());
        if (!local) {
            std::cerr << "--listen takes IP:PORT\n";
            return 2;
        }
        pomelohoist::standin::platform_state state{
            arguments["weight-rate"].as<double>(),
            std::chrono::milliseconds{arguments["host-lag-ms"].as<std::uint32_t>()},
            arguments["seed"].as<std::uint64_t>()};
        return pomelohoist::standin::serve_until_signal(*local, state);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    } catch (const Poco::Exception& error) {
        std::cerr << error.displayText() << '\n';
        return 1;
    }
}
