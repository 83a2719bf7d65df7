#pragma once

#include "common/listen_socket.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <string>
#include <utility>

#include <pthread.h>

/// HTTP server of a stand-in: one function serves all requests, SIGTERM or SIGINT stops the server gracefully.
namespace standin {

inline constexpr int status_ok = 200;
inline constexpr int status_bad_request = 400;
inline constexpr int status_not_found = 404;
inline constexpr int status_conflict = 409;
inline constexpr const char* json_type = "application/json";

using http_function = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

class function_handler : public Poco::Net::HTTPRequestHandler {
  public:
    explicit function_handler(const http_function& request_function) : function(request_function) {}
    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override {
        this->function(request, response);
    }

  private:
    const http_function& function;
};

class function_factory : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    explicit function_factory(http_function request_function) : function(std::move(request_function)) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new function_handler{this->function};
    }

  private:
    http_function function;
};

/// @returns true when the client has closed its connection
inline bool is_client_disconnected(Poco::Net::HTTPServerRequest& request) {
    try {
        auto& socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
        return socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ) && socket.available() == 0;
    } catch (const Poco::Exception&) {
        return true;
    }
}

inline std::string read_body(Poco::Net::HTTPServerRequest& request) {
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

inline void send_text(Poco::Net::HTTPServerResponse& response, int status, const std::string& type,
                      const std::string& body) {
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(type);
    response.sendBuffer(body.data(), body.size());
}

/// Serves until SIGTERM or SIGINT, then waits until the open requests have been served.
/// @param listen IP:PORT; with port 0 the system selects a free port
inline int serve_until_signal(const std::string& listen, const http_function& function) {
    constexpr int max_threads = 512;
    constexpr int backlog = 512;
    constexpr int min_threads = 4;
    constexpr int idle_seconds = 60;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    Poco::ThreadPool pool{min_threads, max_threads, idle_seconds};
    const auto local = pomelohoist::net_address::parse(listen);
    if (!local) {
        throw std::invalid_argument("--listen takes IP:PORT");
    }
    const Poco::Net::ServerSocket socket = pomelohoist::bind_listener(*local, backlog);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(max_threads);
    params->setMaxQueued(backlog);
    // A dispatcher thread that is about to wait may miss the wake-up of stop(). It then sleeps for the thread idle
    // time, whose default is 10 s.
    params->setThreadIdleTime(Poco::Timespan{1, 0});
    Poco::Net::HTTPServer server{new function_factory{function}, pool, socket, params};
    server.start();
    std::cout << "ready http=" << socket.address().toString() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    server.stopAll(false);
    pool.joinAll();
    return EXIT_SUCCESS;
}

/// Runs the main function of a stand-in.
/// @returns the exit status of `run`, or 2 after a line on standard error when `run` throws
inline int run_standin(const std::string& name, const std::function<int()>& run) {
    try {
        return run();
    } catch (const std::exception& error) {
        std::cerr << name << ": " << error.what() << '\n';
        return 2;
    }
}

} // namespace standin
