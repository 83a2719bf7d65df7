#include <pomelohoist/error.h>

#include <array>
#include <cstddef>

namespace pomelohoist {

namespace {

constexpr std::size_t kind_count = static_cast<std::size_t>(error_kind::count);

// `not_run` is true only for two sorts of error kinds: those that are raised before a run message is sent, and those
// with which an agent refuses a run message.
constexpr std::array<error_info, kind_count> error_infos{{
    {"bad_request", 400, true, 0},
    {"unauthorized", 401, true, 0},
    {"forbidden", 403, true, 0},
    {"unknown_model", 404, true, 0},
    {"not_found", 404, true, 0},
    {"method_not_allowed", 405, true, 0},
    {"request_timeout", 408, true, 0},
    {"payload_too_large", 413, true, 0},
    {"header_too_large", 431, true, 0},
    {"idempotency_conflict", 422, true, 0},
    {"in_progress", 409, false, 1},
    {"overloaded", 429, true, 1},
    {"draining", 503, true, 1},
    {"stale_configuration", 503, true, 1},
    {"no_endpoint", 503, true, 2},
    {"not_ready", 503, true, 1},
    {"store_unavailable", 503, true, 2},
    {"request_quarantined", 422, false, 0},
    {"trait_quarantined", 503, true, 600},
    {"deadline_exceeded", 504, false, 0},
    {"endpoint_failed", 502, false, 0},
    {"outcome_unknown", 502, false, 0},
    {"ticket_refused", 503, true, 1},
    {"stale_epoch", 409, true, 0},
    {"conflict", 409, true, 0},
    {"timeout", 504, false, 0},
    {"unreachable", 502, false, 0},
    {"invalid_settings", 500, true, 0},
    {"invalid_declaration", 422, true, 0},
    {"internal", 500, false, 0},
}};

} // namespace

const error_info& error_info_of(error_kind kind) {
    return error_infos.at(static_cast<std::size_t>(kind));
}

} // namespace pomelohoist
