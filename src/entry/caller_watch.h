#pragma once

#include "entry/response_sink.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace pomelohoist {

/// Notices callers that are gone while their requests wait for an agent. One thread for all requests.
class caller_watch {
  public:
    caller_watch();
    ~caller_watch();
    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;

    /// Keeps a caller watched as long as it lives.
    class watched_caller {
      public:
        watched_caller(caller_watch& owner, response_sink& caller, std::function<void()> when_gone);
        ~watched_caller();
        watched_caller(const watched_caller&) = delete;
        watched_caller& operator=(const watched_caller&) = delete;

      private:
        caller_watch& watch;
        std::uint64_t number;
    };

  private:
    struct entry {
        response_sink* caller;
        std::function<void()> when_gone;
    };
    void watch_loop();

    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping{false};
    std::uint64_t next_number{1};
    std::map<std::uint64_t, entry> entries;
    std::thread thread;
};

} // namespace pomelohoist
