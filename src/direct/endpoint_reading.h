#pragma once

#include "direct/endpoint_list.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What a process knows of the endpoints, as processes send it to each other. Durations are in milliseconds.
namespace pomelohoist {

/// An endpoint that remains in use for some time although the reading does not list it: its registration may have
/// lapsed while the store was unavailable.
struct kept_endpoint {
    endpoint_record endpoint;
    std::uint64_t listed_at{0}; ///< revision of the newest reading that listed it, as far as the sender knows
    std::uint32_t left_ms{0};

    template <class Archive> void serialize(Archive& archive) {
        archive(this->endpoint, this->listed_at, this->left_ms);
    }
    friend bool operator==(const kept_endpoint&, const kept_endpoint&) = default;
};

/// An endpoint that had left, or was leaving, before the store was restored from an older copy.
struct reported_departure {
    std::string instance;
    std::uint64_t started_ms{0};
    bool is_removed{false}; ///< false: is leaving

    template <class Archive> void serialize(Archive& archive) {
        archive(this->instance, this->started_ms, this->is_removed);
    }
    friend bool operator==(const reported_departure&, const reported_departure&) = default;
};

/// A hold after a restore: the registrations of these endpoints are disregarded.
struct reported_hold {
    std::uint32_t left_ms{0};
    std::vector<reported_departure> departed;

    template <class Archive> void serialize(Archive& archive) { archive(this->left_ms, this->departed); }
    friend bool operator==(const reported_hold&, const reported_hold&) = default;
};

/// One reading of the store, and what the sender adds to it. What is added is not part of the reading and keeps its own
/// age: a receiver that knows a newer fact disregards it.
struct endpoint_reading {
    endpoint_list listed; ///< as the store had it
    std::vector<kept_endpoint> kept{};
    std::optional<reported_hold> hold{};

    template <class Archive> void serialize(Archive& archive) { archive(this->listed, this->kept, this->hold); }
    friend bool operator==(const endpoint_reading&, const endpoint_reading&) = default;
};

} // namespace pomelohoist
