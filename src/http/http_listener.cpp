#include "http/http_listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

class http_listener::open_connections {
  public:
    /// @returns false when the listener has stopped
    bool add(server_connection& connection) {
        const std::lock_guard lock{this->mutex};
        if (!this->is_stopped) {
            this->all.insert(&connection);
        }
        return !this->is_stopped;
    }

    void remove(server_connection& connection) {
        const std::lock_guard lock{this->mutex};
        this->all.erase(&connection);
    }

    void end_all() {
        const std::lock_guard lock{this->mutex};
        this->is_stopped = true;
        for (server_connection* each : this->all) {
            try {
                Poco::Net::StreamSocket{each->socket()}.shutdown();
            } catch (const Poco::Exception&) {
                continue; // the client has closed it
            }
        }
    }

  private:
    std::mutex mutex;
    std::set<server_connection*> all;
    bool is_stopped{false};
};

class http_listener::served_connection : public Poco::Net::TCPServerConnection {
  public:
    served_connection(const Poco::Net::StreamSocket& accepted, open_connections& registered,
                      exchange_handler& exchanges, const clock& time_source)
        : TCPServerConnection(accepted), open(registered), handler(exchanges), time(time_source) {}

    void run() override {
        server_connection connection{this->socket(), this->time};
        if (this->open.add(connection)) {
            try {
                this->serve(connection);
            } catch (...) {
                this->open.remove(connection);
                throw;
            }
            this->open.remove(connection);
        }
    }

  private:
    void serve(server_connection& connection) {
        do {
            result<std::optional<request_head>> head = connection.read_head(this->handler.limits());
            if (!head) {
                connection.close_after_response();
                this->handler.refuse(head.last_error(), connection);
            } else if (*head) {
                this->handler.handle(std::move(**head), connection);
            } else {
                return;
            }
        } while (connection.stays_open());
        connection.end_gracefully();
    }

    open_connections& open;
    exchange_handler& handler;
    const clock& time;
};

class http_listener::connection_factory : public Poco::Net::TCPServerConnectionFactory {
  public:
    connection_factory(open_connections& registered, exchange_handler& exchanges, const clock& time_source)
        : open(registered), handler(exchanges), time(time_source) {}

    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& accepted) override {
        return new served_connection{accepted, this->open, this->handler, this->time};
    }

  private:
    open_connections& open;
    exchange_handler& handler;
    const clock& time;
};

namespace {

// When POCO's stop() signals a thread just before that thread waits, the thread misses the signal and waits for this
// time; the default of 10 s would delay the end of the process.
constexpr int dispatcher_idle_seconds = 1;

Poco::Net::TCPServerParams::Ptr make_params(const listener_threads& threads) {
    Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
    params->setMaxThreads(threads.max);
    params->setMaxQueued(threads.waiting);
    params->setThreadIdleTime(Poco::Timespan{dispatcher_idle_seconds, 0});
    return params;
}

} // namespace

http_listener::http_listener(const Poco::Net::ServerSocket& bound, const listener_threads& threads,
                             exchange_handler& handler, const clock& time_source)
    : open(std::make_unique<open_connections>()),
      pool(threads.min, threads.max, static_cast<int>(threads.idle.count()), threads.stack_bytes),
      server(new connection_factory{*this->open, handler, time_source}, this->pool, bound, make_params(threads)) {}

http_listener::~http_listener() {
    this->stop();
}

void http_listener::start() {
    this->server.start();
}

void http_listener::stop() {
    this->server.stop();
    this->open->end_all();
    this->pool.joinAll();
}

} // namespace pomelohoist
