#pragma once

#include <string>

/// Names of the HTTP fields that direct forwarding reads and sets. The platform's adapter fills them in.
namespace pomelohoist {

struct header_names {
    std::string request_id;        ///< id of one attempt of a caller; endpoints copy it into their responses
    std::string deadline_ms;       ///< remaining time that the sender waits for the response
    std::string api_key;           ///< the caller's key; never forwarded
    std::string workspace;         ///< sent to endpoints in place of the key
    std::string expected_instance; ///< an endpoint with another instance name refuses the request
    std::string importance;        ///< 0 is served first in the endpoint's queue
    std::string signature; ///< the endpoint's signature of its response; a success without it counts as a failure
    /// Version of the weights that a response is computed with, an integer. In a stream, the event at which it changes
    /// has the name in lower case as the field of its first line.
    std::string weights_version;
    std::string not_run; ///< set by an endpoint that did not run the request
    /// Requests per second, a decimal number, that the endpoint accepts from all entries together; set by endpoints.
    std::string rate_limit;
    std::string cold_left_ms; ///< for which the endpoint remains cold; set by endpoints
    std::string leaving;      ///< "1" in all responses of an endpoint that leaves
    /// Segments of the prompt in order, as comma-separated ID:TOKENS; requests share all segments but the last.
    std::string prompt_segments;
    std::string token_counts; ///< number of prompt tokens, comma, largest number of output tokens

    friend bool operator==(const header_names&, const header_names&) = default;
};

} // namespace pomelohoist
