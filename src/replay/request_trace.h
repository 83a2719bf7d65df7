#pragma once

#include <pomelohoist/error.h>

#include <cstdint>
#include <string>
#include <vector>

/// Recorded requests, one JSON object per line.
namespace pomelohoist {

/// One request of a trace.
struct request_record {
    double at_ms{0.0};
    std::string workspace;
    std::string application;
    std::string prefix; ///< identifies the beginning of the prompt, empty for none
    std::uint32_t prompt_tokens{0};
    std::uint32_t output_tokens{0};
    bool idempotent{true};

    friend bool operator==(const request_record&, const request_record&) = default;
};

/// @returns true when the first line of the file declares a trace of requests
bool is_request_trace(const std::string& file);

/// @returns the requests in the order of their arrival, or `bad_request` with file, line and reason
result<std::vector<request_record>> read_request_trace(const std::string& file);

/// Generates requests of some large and some small workspaces, reproducible from the seed.
/// @param requests_per_second mean rate; arrivals are independent of each other
std::vector<request_record> generate_requests(std::uint64_t seed, std::size_t count, double requests_per_second);

/// @returns done, or the reason why the file could not be written
result<done> write_request_trace(const std::vector<request_record>& requests, const std::string& file);

} // namespace pomelohoist
