#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// The complete list of error kinds, and the HTTP response of each kind.
namespace pomelohoist {

enum class error_kind : std::uint8_t {
    bad_request,
    unauthorized,
    forbidden,
    unknown_model,
    not_found,
    method_not_allowed,
    request_timeout,
    payload_too_large,
    header_too_large,
    idempotency_conflict,
    in_progress,
    overloaded,
    draining,
    stale_configuration,
    no_endpoint,
    not_ready,
    store_unavailable,
    request_quarantined,
    trait_quarantined,
    deadline_exceeded,
    endpoint_failed,
    outcome_unknown,
    ticket_refused,
    stale_epoch,
    conflict,
    timeout,
    unreachable,
    invalid_settings,
    invalid_declaration,
    internal,
    count
};

/// HTTP response for an error kind.
struct error_info {
    std::string_view name;       ///< stable name in JSON bodies, logs and metrics
    std::uint16_t http_status;   ///< status code
    bool not_run;                ///< the kind implies that the request was not run
    std::uint16_t retry_after_s; ///< Retry-After in seconds, 0 for none
};

/// @param kind any kind below `count`
/// @returns the HTTP response of the kind
const error_info& error_info_of(error_kind kind);

/// An error kind with a reason for operators and callers.
struct failure {
    error_kind kind{error_kind::internal};
    std::string reason;

    friend bool operator==(const failure&, const failure&) = default;
};

/// A value, or a failure.
template <class T> class result {
  public:
    result(T content) : value_or_none(std::move(content)) {}   // NOLINT(google-explicit-constructor)
    result(failure reason) : last_reason(std::move(reason)) {} // NOLINT(google-explicit-constructor)

    explicit operator bool() const { return this->value_or_none.has_value(); }
    [[nodiscard]] bool has_value() const { return this->value_or_none.has_value(); }
    const T& operator*() const { return *this->value_or_none; }
    T& operator*() { return *this->value_or_none; }
    const T* operator->() const { return &*this->value_or_none; }
    T* operator->() { return &*this->value_or_none; }
    [[nodiscard]] const std::optional<T>& value() const { return this->value_or_none; }

    /// @returns the failure
    /// @attention meaningful only when there is no value
    [[nodiscard]] const failure& last_error() const { return this->last_reason; }

  private:
    std::optional<T> value_or_none;
    failure last_reason;
};

/// Content of a result without a value.
struct done {
    friend bool operator==(const done&, const done&) = default;
};

} // namespace pomelohoist
