#pragma once

#include "agent/abort_signal.h"
#include "inner/frame_channel.h"

#include <pomelohoist/types.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

/// Detects that an entry closed the connection of a run, even while the endpoint sends no data.
namespace pomelohoist {

class run_watch {
  public:
    run_watch();
    ~run_watch();
    run_watch(const run_watch&) = delete;
    run_watch& operator=(const run_watch&) = delete;

    /// @param abortable false when the run must complete even after its entry disconnects
    /// @attention channel and signal must live until `remove`
    void add(const ticket& id, inner::frame_channel& channel, abort_signal& signal, bool abortable);
    void remove(const ticket& id);

    /// Aborts the run if it is watched and abortable.
    /// @returns true when the run was aborted
    bool abort(const ticket& id);

    /// Aborts all runs and their connections, abortable or not. Used when the grace period of a stop has passed.
    void abort_all();

  private:
    struct watched_run {
        inner::frame_channel* channel{nullptr};
        abort_signal* signal{nullptr};
        bool abortable{false};
    };

    void loop();

    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping{false};
    std::map<ticket, watched_run> runs;
    std::thread thread;
};

} // namespace pomelohoist
