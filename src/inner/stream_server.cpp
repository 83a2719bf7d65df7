#include "inner/stream_server.h"

#include "common/listen_socket.h"

#include <pomelohoist/config.h>

#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <utility>

namespace pomelohoist::inner {

namespace {

constexpr int min_threads = 2;
constexpr int thread_stack_bytes = 256 * 1024;
constexpr int thread_idle_seconds = 60;
constexpr int listen_backlog = 512;
constexpr long dispatcher_idle_seconds = 1;
constexpr std::chrono::milliseconds first_frame_timeout{5000};

class connection : public Poco::Net::TCPServerConnection {
  public:
    connection(const Poco::Net::StreamSocket& accepted, std::string process_name, stream_handler& served_by)
        : Poco::Net::TCPServerConnection(accepted), name(std::move(process_name)), handler(served_by) {}

    void run() override {
        frame_channel channel{this->socket(), this->name};
        const result<packet> first = channel.receive(first_frame_timeout);
        if (first) {
            this->handler.handle_stream(*first, channel);
        }
    }

  private:
    std::string name;
    stream_handler& handler;
};

class connection_factory : public Poco::Net::TCPServerConnectionFactory {
  public:
    connection_factory(std::string process_name, stream_handler& served_by)
        : name(std::move(process_name)), handler(served_by) {}

    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& accepted) override {
        return new connection{accepted, this->name, this->handler};
    }

  private:
    std::string name;
    stream_handler& handler;
};

} // namespace

stream_listener::stream_listener(const net_address& local)
    : socket(bind_listener(local, listen_backlog)), bound{local.ip, socket.address().port()} {}

net_address stream_listener::local_address() const {
    return this->bound;
}

stream_server::stream_server(const stream_listener& listener, std::string process_name, stream_handler& handler)
    : pool(std::make_unique<Poco::ThreadPool>(min_threads, config::max_stream_connections, thread_idle_seconds,
                                              thread_stack_bytes)) {
    Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
    params->setMaxThreads(config::max_stream_connections);
    params->setMaxQueued(listen_backlog);
    // When POCO's stop() signals a dispatcher thread just before that thread waits, the thread misses the signal and
    // waits for this time. The default of 10 s would delay the end of the process.
    params->setThreadIdleTime(Poco::Timespan{dispatcher_idle_seconds, 0});
    this->server = std::make_unique<Poco::Net::TCPServer>(new connection_factory{std::move(process_name), handler},
                                                          *this->pool, listener.socket, params);
    this->server->start();
}

stream_server::~stream_server() {
    this->stop();
}

void stream_server::stop() {
    this->server->stop();
    this->pool->joinAll();
}

} // namespace pomelohoist::inner
