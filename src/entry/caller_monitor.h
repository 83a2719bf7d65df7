#pragma once

#include "entry/response_sink.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace pomelohoist {

/// Detects callers that disconnect while their requests wait for an agent. Uses one thread for all requests.
class caller_monitor {
  public:
    caller_monitor();
    ~caller_monitor();
    caller_monitor(const caller_monitor&) = delete;
    caller_monitor& operator=(const caller_monitor&) = delete;

    /// Registers a caller with the monitor for the lifetime of this object.
    /// `on_disconnect` runs on the monitor's thread, once per poll while the caller is disconnected. The destructor
    /// waits for a running call.
    class monitored_caller {
      public:
        monitored_caller(caller_monitor& owner, response_sink& caller, std::function<void()> on_disconnect);
        ~monitored_caller();
        monitored_caller(const monitored_caller&) = delete;
        monitored_caller& operator=(const monitored_caller&) = delete;

      private:
        caller_monitor& monitor;
        std::uint64_t number;
    };

  private:
    struct registered_caller {
        response_sink* caller;
        std::function<void()> on_disconnect;
    };
    void poll_loop();

    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping{false};
    std::uint64_t next_number{1};
    std::map<std::uint64_t, registered_caller> registered;
    std::thread thread;
};

} // namespace pomelohoist
