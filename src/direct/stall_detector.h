#pragma once

#include <pomelohoist/clock.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

/// Which groups make no progress.
namespace pomelohoist {

/// Answers a group whose steps stand still while its endpoints go on accepting requests: a rank's host is frozen, or a
/// step is held and the coordinator is gone. All ranks begin a step together, so the events of all streams of a group
/// tell whether it goes on; one stream alone may just wait for its turn. Safe for several threads.
class stall_detector {
  public:
    explicit stall_detector(const clock& time_source) : time(time_source) {}

    /// A stream was sent to the group.
    void begin(const std::string& group);
    void note_event(const std::string& group);
    void end(const std::string& group);
    /// @returns true when streams of this process are under way there and none has had an event for a while. After they
    /// have left, true for some time more; then one request at a time finds out whether the group goes on.
    [[nodiscard]] bool is_silent(const std::string& group) const;
    /// @returns true when the group has been silent so long that its streams should go on elsewhere
    [[nodiscard]] bool is_stalled(const std::string& group) const;

  private:
    struct progress {
        std::uint32_t under_way{0};
        steady_time last_event{};    ///< or the begin of the first stream, when none was under way before
        bool is_suspect{false};      ///< was silent when its last stream ended
        steady_time suspect_until{}; ///< nothing is sent there before
    };

    [[nodiscard]] bool is_quiet_for(const progress& known, steady_time::duration limit) const;

    const clock& time;
    mutable std::mutex mutex;
    std::map<std::string, progress> groups;
};

/// Counts a stream as under way while it lives.
class watched_stream {
  public:
    watched_stream(stall_detector& groups, std::string group_name);
    ~watched_stream();
    watched_stream(const watched_stream&) = delete;
    watched_stream& operator=(const watched_stream&) = delete;

  private:
    stall_detector& detector;
    const std::string group;
};

} // namespace pomelohoist
