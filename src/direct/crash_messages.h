#pragma once

#include "direct/request_fingerprint.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

/// Messages about requests that crash endpoints. Durations are in milliseconds.
namespace pomelohoist::inner {

struct reported_run {
    request_fingerprint request;
    bool has_begun{false};

    template <class Archive> void serialize(Archive& archive) { archive(this->request, this->has_begun); }
    friend bool operator==(const reported_run&, const reported_run&) = default;
};

/// The sender's runs that one crash interrupted.
struct reported_crash {
    std::uint64_t incarnation{0};
    std::uint32_t age_ms{0};
    std::vector<reported_run> runs;

    template <class Archive> void serialize(Archive& archive) { archive(this->incarnation, this->age_ms, this->runs); }
    friend bool operator==(const reported_crash&, const reported_crash&) = default;
};

/// The latest response to a request with the trait.
struct reported_response {
    request_trait trait{0};
    std::uint32_t age_ms{0};

    template <class Archive> void serialize(Archive& archive) { archive(this->trait, this->age_ms); }
    friend bool operator==(const reported_response&, const reported_response&) = default;
};

struct crash_evidence {
    std::vector<reported_crash> crashes;
    std::vector<reported_response> responses;

    template <class Archive> void serialize(Archive& archive) { archive(this->crashes, this->responses); }
    friend bool operator==(const crash_evidence&, const crash_evidence&) = default;
};

/// A quarantine in force.
struct reported_quarantine {
    request_trait trait{0};
    std::uint32_t age_ms{0};
    std::uint32_t left_ms{0};

    template <class Archive> void serialize(Archive& archive) { archive(this->trait, this->age_ms, this->left_ms); }
    friend bool operator==(const reported_quarantine&, const reported_quarantine&) = default;
};

} // namespace pomelohoist::inner
