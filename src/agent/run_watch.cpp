#include "agent/run_watch.h"

#include <chrono>

namespace pomelohoist {

namespace {

constexpr std::chrono::milliseconds poll_interval{20};

} // namespace

run_watch::run_watch() : thread([this] { this->loop(); }) {}

run_watch::~run_watch() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stopped.notify_all();
    this->thread.join();
}

void run_watch::add(const ticket& id, inner::frame_channel& channel, abort_signal& signal, bool abortable) {
    const std::lock_guard lock{this->mutex};
    this->runs[id] = {&channel, &signal, abortable};
}

void run_watch::remove(const ticket& id) {
    const std::lock_guard lock{this->mutex};
    this->runs.erase(id);
}

bool run_watch::abort(const ticket& id) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->runs.find(id);
    if (found == this->runs.end() || !found->second.abortable) {
        return false;
    }
    found->second.signal->abort();
    return true;
}

void run_watch::abort_all() {
    const std::lock_guard lock{this->mutex};
    for (auto& [id, run] : this->runs) {
        run.signal->abort();
        run.channel->abort();
    }
}

void run_watch::loop() {
    std::unique_lock lock{this->mutex};
    while (!this->stopped.wait_for(lock, poll_interval, [this] { return this->stopping; })) {
        for (auto& [id, run] : this->runs) {
            if (run.abortable && !run.signal->is_aborted() && run.channel->is_closed_by_peer()) {
                run.signal->abort();
            }
        }
    }
}

} // namespace pomelohoist
