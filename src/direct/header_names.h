#pragma once

#include <string>

/// Names of the HTTP fields that direct forwarding reads and sets. The platform's adapter fills them in.
namespace pomelohoist {

struct header_names {
    std::string request_id;        ///< names one attempt of a caller; endpoints repeat it in their answers
    std::string deadline_ms;       ///< time that the caller, or the entry, still waits
    std::string api_key;           ///< of the caller; never passed on
    std::string workspace;         ///< told to endpoints in place of the key
    std::string expected_instance; ///< an endpoint of another instance refuses the request
    std::string importance;        ///< 0 is first in the endpoint's queue
    std::string signature;         ///< of the endpoint over its answer; a success without it is no answer
    std::string not_run;           ///< the endpoint states that it did not run the request

    friend bool operator==(const header_names&, const header_names&) = default;
};

} // namespace pomelohoist
