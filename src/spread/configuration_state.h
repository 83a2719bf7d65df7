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

/// The state that one process has in force: configuration, recent deltas and host list.
namespace pomelohoist {

/// Versions only increase, regardless of the order in which updates arrive. Safe for several threads.
class configuration_state {
  public:
    configuration_state();

    [[nodiscard]] configuration_ptr current() const;
    [[nodiscard]] std::uint64_t host_list_version() const;
    [[nodiscard]] bool is_leaving(const std::string& host) const;

    /// Applies the configuration when it is newer.
    void apply_configuration(configuration newest);
    /// Applies those deltas that are newer.
    /// @returns done, or `bad_request` when a version is missing or a delta cannot be applied; nothing is applied then
    result<done> apply_deltas(const std::vector<configuration_delta>& deltas);
    /// Applies the response of a peer to a pull.
    /// @returns done, `bad_request` when the response is malformed or a delta cannot be applied, or
    /// `invalid_declaration`; a newer host list or snapshot that precedes the error stays applied
    result<done> apply_response(const inner::pull_response& response);
    /// Applies the host list when it is newer.
    void apply_hosts(const host_list_content& content);

    /// @returns the deltas after the version in the request, or a snapshot when they are no longer kept
    [[nodiscard]] inner::pull_response serve_pull(const inner::pull_request& request);

  private:
    struct encoded_delta {
        std::uint64_t version{0};
        std::string bytes;
    };

    void publish(configuration newest, std::vector<encoded_delta> deltas);
    std::vector<std::string> deltas_after(std::uint64_t version) const;
    std::string encoded_snapshot(const configuration& content);
    void drop_snapshot(std::uint64_t newest);

    std::mutex apply_mutex; ///< held while a new version is built; does not block readers
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
