#pragma once

#include "declaration/configuration.h"
#include "inner/messages.h"
#include "platform/host_list.h"

#include <pomelohoist/error.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

/// What one process has in force: configuration, recent deltas and host list.
namespace pomelohoist {

/// Versions only rise, whatever comes in, in whatever order. Safe for several threads.
class configuration_state {
  public:
    configuration_state();

    [[nodiscard]] configuration_ptr current() const;
    [[nodiscard]] std::uint64_t host_list_version() const;
    [[nodiscard]] bool is_leaving(const std::string& host) const;

    /// Takes the configuration when it is newer.
    void take_configuration(configuration newest);
    /// Takes those deltas that are newer.
    /// @returns done, or `bad_request` when a version is missing or a delta cannot be applied; nothing is taken then
    result<done> take_deltas(const std::vector<configuration_delta>& deltas);
    /// Takes what a peer answered.
    /// @returns done, or `bad_request` when the reply is malformed
    result<done> take_reply(const inner::pull_response& reply);
    /// Takes the list when it is newer.
    void take_hosts(const host_list_content& content);

    /// @returns recent deltas, or a snapshot when they do not reach back to the peer's version
    [[nodiscard]] inner::pull_response answer(const inner::pull_request& request);

  private:
    struct encoded_delta {
        std::uint64_t version{0};
        std::string bytes;
    };

    void publish(configuration newest, std::vector<encoded_delta> deltas);
    std::vector<std::string> deltas_after(std::uint64_t version) const;
    std::string encoded_snapshot(const configuration& content);
    void forget_snapshot(std::uint64_t newest);

    std::mutex take_mutex; ///< held while a new version is built; readers are not kept waiting
    mutable std::mutex mutex;
    configuration_ptr in_force;
    std::deque<encoded_delta> recent; ///< ascending without gaps, up to the version in force
    std::size_t recent_bytes{0};
    std::uint64_t hosts_version{0};
    std::set<std::string> leaving;

    std::mutex snapshot_mutex;
    std::uint64_t snapshot_version{0};
    std::string snapshot_bytes;
};

} // namespace pomelohoist
