#pragma once

#include "direct/endpoint_list.h"
#include "direct/evacuation_list.h"
#include "direct/request_fingerprint.h"
#include "direct/routing_table.h"
#include "direct/store_revision.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Interface to the platform's store, as direct forwarding needs it.
namespace pomelohoist {

/// A process of the system.
struct peer_record {
    std::string name;
    net_address address; ///< address for messages from other processes, over UDP and TCP

    friend bool operator==(const peer_record&, const peer_record&) = default;
};

/// A registration that was written or removed.
struct endpoint_change {
    std::string instance;
    std::optional<endpoint_record> record; ///< empty when the registration was removed or its row is unusable

    friend bool operator==(const endpoint_change&, const endpoint_change&) = default;
};

/// An endpoint that is cold, by its registration.
struct cold_endpoint {
    endpoint_record endpoint;
    std::chrono::milliseconds left{0}; ///< when the registration was read

    friend bool operator==(const cold_endpoint&, const cold_endpoint&) = default;
};

/// Changes of the endpoint list after a revision.
struct endpoint_changes {
    store_revision revision; ///< the next watch continues after this revision
    std::vector<endpoint_change> changes;
    std::vector<cold_endpoint> cold{}; ///< among the changed registrations

    friend bool operator==(const endpoint_changes&, const endpoint_changes&) = default;
};

/// All registrations at one revision of the store.
struct endpoint_snapshot {
    store_revision revision;
    std::vector<endpoint_record> endpoints;
    std::vector<cold_endpoint> cold{};

    friend bool operator==(const endpoint_snapshot&, const endpoint_snapshot&) = default;
};

/// The newest routing declaration; without content when the declaration has not changed.
struct routing_change {
    store_revision revision; ///< the next watch continues after this revision
    std::optional<routing_content> content;
    std::vector<evacuation_change> evacuations{}; ///< after a watch: the changes; after a read: all in force

    friend bool operator==(const routing_change&, const routing_change&) = default;
};

/// A trait whose requests crash endpoints; see `crash_quarantine`.
struct stored_quarantine {
    request_trait trait{0};
    wall_time since; ///< by the clock of the process that wrote it
    wall_time until;

    friend bool operator==(const stored_quarantine&, const stored_quarantine&) = default;
};

/// @attention used by one thread
class control_store {
  public:
    virtual ~control_store() = default;
    /// Writes or renews the row of this process.
    virtual result<done> register_peer(const peer_record& own) = 0;
    virtual result<std::vector<peer_record>> read_peers() = 0;
    virtual result<routing_change> read_routing() = 0;
    /// Waits for a newer declaration.
    /// @returns the change, or `stale_configuration` when the store has compacted that part of its history
    /// or has been restored since
    virtual result<routing_change> watch_routing(const store_revision& after, std::chrono::milliseconds wait) = 0;
    virtual result<endpoint_snapshot> read_endpoints() = 0;
    /// Reads the changes after a revision. Returns at once, even when there are none.
    /// @returns the changes, or `stale_configuration` when the store has compacted that part of its history
    /// or has been restored since
    virtual result<endpoint_changes> watch_endpoints(const store_revision& after) = 0;
    /// @returns all stored quarantines, including those that have expired
    virtual result<std::vector<stored_quarantine>> read_quarantines() = 0;
    virtual result<done> write_quarantine(const stored_quarantine& held) = 0;
    virtual result<done> remove_quarantine(request_trait trait) = 0;
};

} // namespace pomelohoist
