#pragma once

#include <pomelohoist/types.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// An endpoint that answers with exact bytes, also with wrong ones.
namespace pomelohoist::test_support {

/// What follows a request.
struct scripted_answer {
    std::string bytes;
    std::chrono::milliseconds delay{0}; ///< before the bytes
    bool closes{false};                 ///< orderly end of the connection after the bytes
    bool resets{false};                 ///< reset after the bytes
    bool hangs{false};                  ///< nothing more comes until the other side leaves

    friend bool operator==(const scripted_answer&, const scripted_answer&) = default;
};

class scripted_endpoint {
  public:
    /// @param request head and body as they came
    /// @param number of the request, from 0
    using script = std::function<scripted_answer(const std::string& request, std::size_t number)>;

    explicit scripted_endpoint(script answers);
    ~scripted_endpoint();
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;

    [[nodiscard]] net_address address() const;
    [[nodiscard]] std::vector<std::string> requests() const;
    [[nodiscard]] std::size_t connections() const { return this->accepted; }
    /// @returns true once a caller has left while an answer was hanging
    [[nodiscard]] bool saw_caller_leave() const { return this->left; }

  private:
    void accept_loop();
    void serve(Poco::Net::StreamSocket socket);
    bool answer(Poco::Net::StreamSocket& socket, const std::string& request);

    script answer_of;
    Poco::Net::ServerSocket listener;
    std::atomic<bool> stopping{false};
    std::atomic<bool> left{false};
    std::atomic<std::size_t> accepted{0};
    mutable std::mutex mutex;
    std::vector<std::string> seen;
    std::vector<std::thread> threads;
};

/// @returns an answer with a length, as an endpoint of the platform gives it to the request
std::string whole_answer_to(const std::string& request, int status, const std::string& body,
                            const std::string& more_fields = "");

/// @returns the value of a field of a request, or ""
std::string field_of(const std::string& request, const std::string& name);

} // namespace pomelohoist::test_support
