#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

#include <cxxopts.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

/// Stand-in for an endpoint whose supervisor holds the port and starts the process anew at once after a crash. Requests
/// whose head contains "bad" crash the process: before its response, or, with "bad-unframed", after the first event of
/// a response without a length.
namespace {

std::string field_of(const std::string& head, const std::string& name) {
    std::istringstream lines{head};
    for (std::string line; std::getline(lines, line);) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos && Poco::icompare(line.substr(0, colon), name) == 0) {
            return Poco::trim(line.substr(colon + 1));
        }
    }
    return "";
}

void send_text(Poco::Net::StreamSocket& socket, const std::string& text) {
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

void respond(Poco::Net::StreamSocket& socket, const std::string& head) {
    const std::string first =
        "HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: " + field_of(head, "X-Pomelohoist-Attempt-Id") +
        "\r\nX-Pomelohoist-Response-Stamp: signed\r\n";
    if (head.find("bad-unframed") != std::string::npos) {
        send_text(socket, first + "\r\nid: 1\ndata: t\n\n");
        std::_Exit(EXIT_FAILURE);
    }
    if (head.find("bad") != std::string::npos) {
        std::_Exit(EXIT_FAILURE);
    }
    const std::string body = "id: 1\ndata: t\n\nid: 2\ndata: t\n\n";
    send_text(socket, first + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void serve_connection(Poco::Net::StreamSocket socket) {
    constexpr std::size_t buffer_bytes = 4096;
    std::string received;
    std::array<char, buffer_bytes> buffer{};
    try {
        while (true) {
            const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0) {
                return;
            }
            received.append(buffer.data(), static_cast<std::size_t>(count));
            // Requests of the tests have no body.
            for (std::size_t end = received.find("\r\n\r\n"); end != std::string::npos;
                 end = received.find("\r\n\r\n")) {
                respond(socket, received.substr(0, end));
                received.erase(0, end + 4);
            }
        }
    } catch (const Poco::Exception&) {
        return; // the client has reset the connection
    }
}

[[noreturn]] void run_worker(Poco::Net::ServerSocket& listener, const std::string& starts_file) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::ofstream{starts_file, std::ios::app} << std::chrono::duration_cast<std::chrono::milliseconds>(now).count()
                                              << std::endl;
    while (true) {
        std::thread{serve_connection, listener.acceptConnection()}.detach();
    }
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options{"standin-supervised"};
    options.add_options()("starts", "file that the Unix time in ms of each start is appended to",
                          cxxopts::value<std::string>());
    const auto arguments = options.parse(argc, argv);
    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    std::cout << "ready " << listener.address().toString() << std::endl;
    while (true) {
        const pid_t worker = fork();
        if (worker == 0) {
            run_worker(listener, arguments["starts"].as<std::string>());
        }
        int status = 0;
        if (worker < 0 || waitpid(worker, &status, 0) != worker) {
            return EXIT_FAILURE;
        }
    }
}
