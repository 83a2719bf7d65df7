#include "direct/request_fingerprint.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <algorithm>

namespace pomelohoist {

namespace {

// Different seeds, so that a segment and a whole request with the same text have different digests.
constexpr std::uint64_t whole_seed = 1;
constexpr std::uint64_t segment_seed = 2;

} // namespace

request_fingerprint make_fingerprint(const std::string& target, const std::string& workspace, const std::string& body,
                                     const std::vector<std::string>& shared_segments) {
    request_fingerprint fingerprint;
    fingerprint.whole = hash64(body, hash64(workspace, hash64(target, whole_seed)));
    const std::size_t count = std::min(shared_segments.size(), config::max_fingerprint_segments);
    for (std::size_t i = 0; i < count; ++i) {
        fingerprint.segments.push_back(hash64(shared_segments[i], segment_seed));
    }
    return fingerprint;
}

} // namespace pomelohoist
