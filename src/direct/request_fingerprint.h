#pragma once

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Digests of a request, by which requests that crash endpoints are recognized.
namespace pomelohoist {

/// Digest of something that requests may share.
using request_trait = std::uint64_t;

struct request_fingerprint {
    request_trait whole{0};                ///< of target, workspace and body: equal for repeats of one request
    std::vector<request_trait> segments{}; ///< of the prompt's shared segments

    [[nodiscard]] std::vector<request_trait> traits() const {
        std::vector<request_trait> all = this->segments;
        all.push_back(this->whole);
        return all;
    }
    template <class Archive> void serialize(Archive& archive) { archive(this->whole, this->segments); }
    friend bool operator==(const request_fingerprint&, const request_fingerprint&) = default;
};

/// @param shared_segments ids of the prompt's segments that other requests may have too
request_fingerprint make_fingerprint(const std::string& target, const std::string& workspace, const std::string& body,
                                     const std::vector<std::string>& shared_segments);

} // namespace pomelohoist
