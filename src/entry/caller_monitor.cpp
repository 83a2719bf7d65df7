#include "entry/caller_monitor.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

caller_monitor::caller_monitor() : thread([this] { this->poll_loop(); }) {}

caller_monitor::~caller_monitor() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stopped.notify_all();
    this->thread.join();
}

void caller_monitor::poll_loop() {
    std::unique_lock lock{this->mutex};
    while (!this->stopped.wait_for(lock, config::caller_poll_interval, [this] { return this->stopping; })) {
        for (const auto& [number, monitored] : this->registered) {
            if (monitored.caller->is_disconnected()) {
                monitored.on_disconnect();
            }
        }
    }
}

caller_monitor::monitored_caller::monitored_caller(caller_monitor& owner, response_sink& caller,
                                                   std::function<void()> on_disconnect)
    : monitor(owner), number(0) {
    const std::lock_guard lock{this->monitor.mutex};
    this->number = this->monitor.next_number++;
    this->monitor.registered.emplace(this->number, registered_caller{&caller, std::move(on_disconnect)});
}

caller_monitor::monitored_caller::~monitored_caller() {
    const std::lock_guard lock{this->monitor.mutex};
    this->monitor.registered.erase(this->number);
}

} // namespace pomelohoist
