#pragma once

#include "agent/abort_signal.h"
#include "inner/frame_channel.h"

#include <pomelohoist/types.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

/// Notices that an entry closed the connection of a run, also while the endpoint sends nothing.
namespace pomelohoist {

class run_watch {
  public:
    run_watch();
    ~run_watch();
    run_watch(const run_watch&) = delete;
    run_watch& operator=(const run_watch&) = delete;

    /// @param abortable false when the run must go on to its end without its entry
    /// @attention channel and signal must live until `remove`
    void add(const ticket& id, inner::frame_channel& channel, abort_signal& signal, bool abortable);
    void remove(const ticket& id);

    /// @returns true when the run is watched and abortable; it is aborted then
    bool abort(const ticket& id);

    /// Breaks all runs and their connections; for the end of the time that a graceful stop may take.
    void abort_all();

  private:
    struct watched {
        inner::frame_channel* channel{nullptr};
        abort_signal* signal{nullptr};
        bool abortable{false};
    };

    void loop();

    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping{false};
    std::map<ticket, watched> runs;
    std::thread thread;
};

} // namespace pomelohoist
