#include "entry/caller_watch.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

caller_watch::caller_watch() : thread([this] { this->watch_loop(); }) {}

caller_watch::~caller_watch() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stopped.notify_all();
    this->thread.join();
}

void caller_watch::watch_loop() {
    std::unique_lock lock{this->mutex};
    while (!this->stopped.wait_for(lock, config::caller_watch_interval, [this] { return this->stopping; })) {
        for (const auto& [number, watched] : this->entries) {
            if (watched.caller->is_disconnected()) {
                watched.when_gone();
            }
        }
    }
}

caller_watch::watched_caller::watched_caller(caller_watch& owner, response_sink& caller,
                                             std::function<void()> when_gone)
    : watch(owner), number(0) {
    const std::lock_guard lock{this->watch.mutex};
    this->number = this->watch.next_number++;
    this->watch.entries.emplace(this->number, entry{&caller, std::move(when_gone)});
}

caller_watch::watched_caller::~watched_caller() {
    const std::lock_guard lock{this->watch.mutex};
    this->watch.entries.erase(this->number);
}

} // namespace pomelohoist
