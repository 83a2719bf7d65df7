#include "direct_fixture.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

/// Writes to endpoints and callers that do not read.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;
using test_support::field_of;
using test_support::http_response;
using test_support::scripted_endpoint;
using test_support::scripted_response;

constexpr int small_buffer_bytes = 65536;
constexpr std::size_t large_bytes = 4000000; // more than the kernel's buffers of a connection

scripted_response sound(const std::string& request, std::size_t /*number*/) {
    return {test_support::full_response_to(request, 200, "body")};
}

/// A caller that sends one request and leaves the response in the kernel's buffers.
class unread_call {
  public:
    unread_call(const net_address& entry, const std::string& path, const std::string& body, int deadline_ms) {
        this->socket.connect(Poco::Net::SocketAddress{entry.ip, entry.port});
        this->socket.setReceiveBufferSize(small_buffer_bytes);
        const std::string request = "POST " + path +
                                    " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\n"
                                    "X-Pomelohoist-Attempt-Id: a-1\r\nX-Pomelohoist-Deadline-Ms: " +
                                    std::to_string(deadline_ms) + "\r\nContent-Length: " + std::to_string(body.size()) +
                                    "\r\n\r\n" + body;
        std::size_t sent = 0;
        while (sent < request.size()) {
            sent += static_cast<std::size_t>(
                this->socket.sendBytes(request.data() + sent, static_cast<int>(request.size() - sent)));
        }
    }
    /// Reads some bytes.
    void read(int bytes) {
        std::string buffer(static_cast<std::size_t>(bytes), '\0');
        this->socket.receiveBytes(buffer.data(), bytes);
    }
    void close() { this->socket.close(); }

  private:
    Poco::Net::StreamSocket socket;
};

/// @returns true when the entry has finished all requests within the time
bool is_idle_within(const direct_entry& entry, std::chrono::milliseconds longest) {
    const auto until = std::chrono::steady_clock::now() + longest;
    while (entry.service.active() > 0) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

void wait_for_request(const direct_entry& entry) {
    while (entry.service.active() == 0) {
        std::this_thread::sleep_for(1ms);
    }
}

// Guards against a request that holds its thread, its memory and its caller past the deadline, because its endpoint
// does not read it.
TEST(blocked_write_test, an_endpoint_that_does_not_read_is_given_up_at_the_deadline) {
    scripted_endpoint silent{sound, small_buffer_bytes};
    silent.stop_reading();
    direct_entry entry{{silent.address()}};
    const auto began = std::chrono::steady_clock::now();
    const http_response response =
        entry.call("POST", "/unsafe/x", std::string(large_bytes, 'x'), {{"X-Pomelohoist-Deadline-Ms", "1000"}});
    EXPECT_EQ(response.status, 504);
    EXPECT_LT(std::chrono::steady_clock::now() - began, 1500ms);
    EXPECT_TRUE(silent.requests().empty());
}

// Guards against a request of a safe route that is not retried while its endpoint does not read it.
TEST(blocked_write_test, a_safe_request_is_retried_at_an_endpoint_that_reads) {
    scripted_endpoint silent{sound, small_buffer_bytes};
    silent.stop_reading();
    scripted_endpoint reading{sound};
    direct_entry entry{{silent.address(), reading.address()}};
    for (int i = 0; i < 4; ++i) {
        const http_response response =
            entry.call("POST", "/safe/x", std::string(large_bytes, 'x'), {{"X-Pomelohoist-Deadline-Ms", "1500"}});
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "body");
    }
}

// Guards against a request that still waits for its endpoint, or reaches it, after its caller has left.
TEST(blocked_write_test, a_caller_that_leaves_ends_a_blocked_request) {
    scripted_endpoint silent{sound, small_buffer_bytes};
    silent.stop_reading();
    direct_entry entry{{silent.address()}};
    unread_call call{entry.address, "/unsafe/x", std::string(large_bytes, 'x'), 5000};
    wait_for_request(entry);
    std::this_thread::sleep_for(200ms);
    call.close();
    EXPECT_TRUE(is_idle_within(entry, 500ms));
}

/// Responds with 413 to the first bytes of each connection, reads no more, and waits until the connection is reset.
class early_responder {
  public:
    explicit early_responder(int expected_connections) {
        this->thread = std::thread{[this, expected_connections] {
            for (int i = 0; i < expected_connections; ++i) {
                this->respond();
            }
        }};
    }
    ~early_responder() { this->join(); }
    early_responder(const early_responder&) = delete;
    early_responder& operator=(const early_responder&) = delete;

    [[nodiscard]] net_address address() const { return {"127.0.0.1", this->listener.address().port()}; }
    /// @returns the number of connections that began with a request
    [[nodiscard]] int heads() const { return this->received_heads; }
    /// @returns the number of connections that were reset within 3 s of the response
    [[nodiscard]] int resets() const { return this->seen_resets; }
    void join() {
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

  private:
    void respond() {
        try {
            if (!this->listener.poll(Poco::Timespan{4, 0}, Poco::Net::Socket::SELECT_READ)) {
                return; // the entry sends the request on another connection
            }
            Poco::Net::StreamSocket accepted = this->listener.acceptConnection();
            accepted.setReceiveBufferSize(small_buffer_bytes);
            std::string request(8192, '\0');
            request.resize(static_cast<std::size_t>(accepted.receiveBytes(request.data(), 8192)));
            this->received_heads += request.starts_with("POST ") ? 1 : 0;
            const std::string response = test_support::full_response_to(request, 413, "too large");
            accepted.sendBytes(response.data(), static_cast<int>(response.size()));
            this->seen_resets += accepted.poll(Poco::Timespan{3, 0}, Poco::Net::Socket::SELECT_ERROR) ? 1 : 0;
        } catch (const Poco::Exception& error) {
            ADD_FAILURE() << "the endpoint lost its connection: " << error.displayText();
        }
    }

    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    std::atomic<int> received_heads{0};
    std::atomic<int> seen_resets{0};
    std::thread thread;
};

void expect_early_responses(const std::string& path, std::size_t body_bytes) {
    early_responder endpoint{2};
    direct_entry entry{{endpoint.address()}};
    for (int i = 0; i < 2; ++i) {
        const auto began = std::chrono::steady_clock::now();
        const http_response response =
            entry.call("POST", path, std::string(body_bytes, 'x'), {{"X-Pomelohoist-Deadline-Ms", "6000"}});
        EXPECT_EQ(response.status, 413);
        EXPECT_EQ(response.body, "too large");
        EXPECT_LT(std::chrono::steady_clock::now() - began, 4s);
    }
    endpoint.join();
    EXPECT_EQ(endpoint.heads(), 2);
    EXPECT_EQ(endpoint.resets(), 2);
}

// Guards against a response that is held back because its endpoint sent it before it read the request whole, and
// against a connection that is used again in the middle of that request.
TEST(blocked_write_test, an_early_response_is_forwarded_at_once) {
    expect_early_responses("/unsafe/x", large_bytes);
}

// Guards against the same where the kernel has taken the whole request, but the endpoint's host has not received it.
// The connection would be kept, and the next request would wait behind the rest.
TEST(blocked_write_test, an_early_response_to_a_buffered_request_is_forwarded_at_once) {
    constexpr std::size_t buffered_bytes = 1000000; // more than an endpoint's buffer, less than the kernel's
    expect_early_responses("/unsafe/x", buffered_bytes);
    expect_early_responses("/safe/x", buffered_bytes);
}

// Guards against a caller that reads nothing and thereby holds a thread and a whole response for ever.
TEST(blocked_write_test, a_caller_that_does_not_read_is_given_up) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) {
        return scripted_response{test_support::full_response_to(request, 200, std::string(3 * large_bytes, 'b'))};
    }};
    direct_entry entry{{endpoint.address()}};
    const unread_call call{entry.address, "/safe/x", "", 1000};
    wait_for_request(entry);
    EXPECT_TRUE(is_idle_within(entry, 1s + 1500ms)); // the deadline, and the time of a caller that stalls
}

// Guards against the same for a stream, whose endpoint never stops sending.
TEST(blocked_write_test, a_caller_that_does_not_read_its_stream_is_given_up) {
    std::atomic<int> id{0};
    scripted_endpoint endpoint{[&id](const std::string& request, std::size_t) {
        scripted_response response{
            "HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: " + field_of(request, "X-Pomelohoist-Attempt-Id") +
            "\r\nX-Pomelohoist-Response-Stamp: signed\r\n\r\n"};
        for (int i = 0; i < 600; ++i) {
            response.bytes += "id: " + std::to_string(++id) + "\ndata: " + std::string(20000, 'd') + "\n\n";
        }
        response.hangs = true;
        return response;
    }};
    direct_entry entry{{endpoint.address()}};
    const unread_call call{entry.address, "/stream/x", "", 1000};
    wait_for_request(entry);
    EXPECT_TRUE(is_idle_within(entry, 1s + 1500ms));
}

// Guards against a caller that reads a little now and then, so that each single write ends in time.
TEST(blocked_write_test, a_caller_that_reads_a_little_now_and_then_is_given_up) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) {
        return scripted_response{test_support::full_response_to(request, 200, std::string(3 * large_bytes, 'b'))};
    }};
    direct_entry entry{{endpoint.address()}};
    unread_call call{entry.address, "/safe/x", "", 1000};
    wait_for_request(entry);
    std::atomic<bool> is_done{false};
    std::thread reader{[&] {
        try {
            while (!is_done) {
                call.read(20000);
                std::this_thread::sleep_for(300ms);
            }
        } catch (const Poco::Exception&) {
            return; // the entry has reset the connection
        }
    }};
    EXPECT_TRUE(is_idle_within(entry, 1s + config::response_write_extension + 1s));
    is_done = true;
    reader.join();
}

// Guards against a slow but reading caller that loses its response at the deadline.
TEST(blocked_write_test, a_caller_that_reads_slowly_gets_its_response) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) {
        return scripted_response{test_support::full_response_to(request, 200, std::string(3 * large_bytes, 'b'))};
    }};
    direct_entry entry{{endpoint.address()}};
    std::size_t pieces = 0;
    const http_response response =
        entry.call("GET", "/safe/x", "", {{"X-Pomelohoist-Deadline-Ms", "500"}}, [&pieces](const std::string&) {
            std::this_thread::sleep_for(++pieces % 20 == 0 ? 50ms : 0ms);
            return true;
        });
    EXPECT_EQ(response.status, 200);
    EXPECT_TRUE(response.complete);
}

} // namespace
} // namespace pomelohoist
