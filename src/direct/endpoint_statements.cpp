#include "direct/endpoint_statements.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <Poco/NumberParser.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelohoist {

namespace {

/// @returns nothing when the text is not a number from 0 on
std::optional<double> parse_amount(const std::string& text) {
    double amount = 0.0;
    const bool is_amount = Poco::NumberParser::tryParseFloat(text, amount) && std::isfinite(amount) && amount >= 0.0;
    return is_amount ? std::optional{amount} : std::nullopt;
}

} // namespace

endpoint_statements::limited_endpoint& endpoint_statements::endpoint_of(endpoint_digest endpoint, double limit_per_s,
                                                                        steady_time now) {
    const auto found = this->endpoints.find(endpoint);
    if (found != this->endpoints.end()) {
        return found->second;
    }
    return this->endpoints.emplace(endpoint, limited_endpoint{limit_per_s, false, now, now, {limit_per_s, now}, 0, {}})
        .first->second;
}

void endpoint_statements::record_response(const endpoint_record& endpoint,
                                          const std::optional<std::string>& limit_per_s) {
    const std::lock_guard lock{this->mutex};
    const endpoint_digest digest = digest_of_instance(endpoint.instance);
    const steady_time now = this->time.now();
    if (!limit_per_s) {
        const auto found = this->endpoints.find(digest);
        // Responses of different connections may overtake each other.
        if (found != this->endpoints.end() && !found->second.has_ended &&
            now - found->second.stated_at >= config::response_reorder_time) {
            found->second.has_ended = true;
            found->second.stated_at = now;
            found->second.changed_at = now;
            this->log.info("endpoint_limit_ended", {{"endpoint", endpoint.instance}});
        }
        return;
    }
    const std::optional<double> rate = parse_amount(*limit_per_s);
    if (!rate) {
        this->log.warn("endpoint_limit_unusable", {{"endpoint", endpoint.instance}, {"limit", *limit_per_s}});
        return;
    }
    this->drop_old(now);
    const bool is_new = !this->endpoints.contains(digest);
    limited_endpoint& limited = this->endpoint_of(digest, *rate, now);
    if (is_new || limited.has_ended || limited.limit_per_s != *rate) {
        this->log.info("endpoint_limited", {{"endpoint", endpoint.instance}, {"per_s", *limit_per_s}});
    }
    limited.has_ended = false;
    limited.limit_per_s = *rate;
    limited.bucket.set_limit(*rate, now);
    limited.stated_at = now;
    limited.changed_at = now;
}

endpoint_statements::incarnation endpoint_statements::incarnation_of(const endpoint_record& endpoint) {
    return hash64(endpoint.instance, endpoint.started_ms);
}

void endpoint_statements::record_leaving(const endpoint_record& endpoint, const std::string& value) {
    if (value != "1") {
        this->log.warn("endpoint_leave_unusable", {{"endpoint", endpoint.instance}, {"value", value}});
        return;
    }
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    this->drop_old(now);
    stated_times& own = this->availabilities[incarnation_of(endpoint)];
    if (own.leaving_until <= now) {
        this->log.info("endpoint_leaving", {{"endpoint", endpoint.instance}});
    }
    own.leaving_until = now + config::longest_leave;
    own.leaving_since = now;
    own.leaving_observer.clear();
}

void endpoint_statements::record_pause(const endpoint_record& endpoint, const std::string& seconds) {
    const std::optional<double> asked = parse_amount(seconds);
    if (!asked) {
        this->log.warn("endpoint_pause_unusable", {{"endpoint", endpoint.instance}, {"retry_after", seconds}});
        return;
    }
    const std::chrono::duration<double> bounded{
        std::min(*asked, std::chrono::duration<double>{config::longest_pause}.count())};
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    this->drop_old(now);
    stated_times& own = this->availabilities[incarnation_of(endpoint)];
    if (own.paused_until <= now) {
        this->log.info("endpoint_paused", {{"endpoint", endpoint.instance}, {"retry_after", seconds}});
    }
    own.paused_until = std::max(own.paused_until, now + std::chrono::ceil<std::chrono::milliseconds>(bounded));
    own.paused_since = now;
}

endpoint_availability endpoint_statements::availability_of(const endpoint_record& endpoint) const {
    const std::lock_guard lock{this->mutex};
    // Usually no endpoint states anything, and this is called for each endpoint when a request is placed.
    if (this->availabilities.empty()) {
        return {};
    }
    const auto found = this->availabilities.find(incarnation_of(endpoint));
    if (found == this->availabilities.end()) {
        return {};
    }
    const stated_times& stated = found->second;
    const steady_time now = this->time.now();
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(stated.paused_until - now);
    const bool is_leaving = now < stated.leaving_until;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - (is_leaving ? stated.leaving_since : stated.paused_since));
    return {
        is_leaving, std::max(left, std::chrono::milliseconds{0}), age,
        is_leaving ? stated.leaving_observer : std::string{},
        std::max(std::chrono::ceil<std::chrono::milliseconds>(stated.cold_until - now), std::chrono::milliseconds{0})};
}

void endpoint_statements::record_cold(const endpoint_record& endpoint, const std::string& left_ms) {
    const std::optional<double> left = parse_amount(left_ms);
    if (!left) {
        this->log.warn("endpoint_cold_unusable", {{"endpoint", endpoint.instance}, {"value", left_ms}});
        return;
    }
    const std::chrono::duration<double, std::milli> bounded{
        std::min(*left, std::chrono::duration<double, std::milli>{config::longest_cold_time}.count())};
    this->record_cold(endpoint, std::chrono::ceil<std::chrono::milliseconds>(bounded));
}

void endpoint_statements::record_cold(const endpoint_record& endpoint, std::chrono::milliseconds left) {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    const auto found = this->availabilities.find(incarnation_of(endpoint));
    const bool was_cold = found != this->availabilities.end() && found->second.cold_until > now;
    if (!was_cold) {
        if (left <= std::chrono::milliseconds{0}) {
            return;
        }
        this->drop_old(now);
        this->log.info("endpoint_cold", {{"endpoint", endpoint.instance}, {"left_ms", std::to_string(left.count())}});
    }
    stated_times& own = this->availabilities[incarnation_of(endpoint)];
    own.cold_until = now + left;
    own.is_cold_reported = false;
}

std::optional<std::vector<reported_cold>> endpoint_statements::report_cold() const {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    std::vector<reported_cold> reported;
    for (const auto& [cold, stated] : this->availabilities) {
        // A report that was passed on again and again would extend the time by the delay of each message.
        if (stated.cold_until > now && !stated.is_cold_reported && reported.size() < config::max_reported_cold) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(stated.cold_until - now);
            reported.push_back({cold, static_cast<std::uint32_t>(left.count())});
        }
    }
    return reported.empty() ? std::nullopt : std::optional{std::move(reported)};
}

void endpoint_statements::merge_cold(const std::optional<std::vector<reported_cold>>& reported) {
    if (!reported) {
        return;
    }
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    this->drop_old(now);
    for (const reported_cold& each : *reported) {
        stated_times& known = this->availabilities[each.incarnation];
        const steady_time until = now + std::chrono::milliseconds{each.left_ms};
        // A message arrives later than it was sent. What this process has read itself goes before, and is passed on as
        // it was read.
        const bool is_read_here = known.cold_until > now && !known.is_cold_reported;
        if (!is_read_here && until > known.cold_until) {
            known.is_cold_reported = true;
            known.cold_until = until;
        }
    }
}

std::size_t endpoint_statements::count_cold() const {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    return static_cast<std::size_t>(std::count_if(this->availabilities.begin(), this->availabilities.end(),
                                                  [now](const auto& each) { return each.second.cold_until > now; }));
}

std::vector<reported_leave> endpoint_statements::report_leaves(std::chrono::milliseconds max_age) const {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    std::vector<reported_leave> reported;
    for (const auto& [leaving, stated] : this->availabilities) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - stated.leaving_since);
        if (stated.leaving_until > now && stated.leaving_observer.empty() && age <= max_age &&
            reported.size() < config::max_reported_leaves) {
            reported.push_back({leaving, static_cast<std::uint32_t>(age.count())});
        }
    }
    return reported;
}

void endpoint_statements::merge_leaves(const std::string& peer, const std::vector<reported_leave>& reported) {
    if (reported.empty()) {
        return;
    }
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    this->drop_old(now);
    for (const reported_leave& each : reported) {
        const steady_time since = now - std::chrono::milliseconds{each.age_ms};
        if (since + config::longest_leave <= now) {
            continue;
        }
        stated_times& known = this->availabilities[each.incarnation];
        // What this entry has observed itself goes before, so that it continues to report it.
        const bool is_new = known.leaving_until <= now;
        if (!is_new && (known.leaving_observer.empty() || since <= known.leaving_since)) {
            continue;
        }
        if (is_new) {
            this->log.info("endpoint_leaving_reported", {{"incarnation", std::to_string(each.incarnation)},
                                                         {"observed_by", peer},
                                                         {"age_ms", std::to_string(each.age_ms)}});
        }
        known.leaving_until = since + config::longest_leave;
        known.leaving_since = since;
        known.leaving_observer = peer;
    }
}

void endpoint_statements::record_request(endpoint_digest endpoint) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->endpoints.find(endpoint);
    if (found != this->endpoints.end()) {
        ++found->second.own_requests;
        found->second.changed_at = this->time.now();
        found->second.bucket.take(1.0, found->second.changed_at);
    }
}

bool endpoint_statements::has_room(endpoint_digest endpoint) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() || found->second.has_ended || found->second.bucket.has_room(this->time.now());
}

std::vector<reported_limit> endpoint_statements::report(std::chrono::milliseconds max_age) const {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    std::vector<reported_limit> reported;
    for (const auto& [endpoint, limited] : this->endpoints) {
        if (now - limited.changed_at <= max_age && reported.size() < config::max_reported_limits) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - limited.stated_at);
            reported.push_back({endpoint, static_cast<float>(limited.limit_per_s), limited.has_ended,
                                static_cast<std::uint32_t>(age.count()), limited.own_requests});
        }
    }
    return reported;
}

void endpoint_statements::merge(const std::string& peer, const std::vector<reported_limit>& reported) {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    for (const reported_limit& each : reported) {
        const bool is_new = !this->endpoints.contains(each.endpoint);
        limited_endpoint& limited = this->endpoint_of(each.endpoint, each.limit_per_s, now);
        const steady_time stated_at = now - std::chrono::milliseconds{each.age_ms};
        if (is_new || stated_at > limited.stated_at) {
            limited.limit_per_s = each.limit_per_s;
            limited.has_ended = each.has_ended;
            limited.stated_at = stated_at;
            limited.bucket.set_limit(each.limit_per_s, now);
        }
        const auto [known, is_first] = limited.peer_requests.try_emplace(peer, each.requests);
        if (!is_first) {
            // A peer that has restarted counts from 0 again.
            const std::uint32_t sent = each.requests >= known->second ? each.requests - known->second : each.requests;
            limited.bucket.take(sent, now);
            known->second = each.requests;
        }
    }
}

void endpoint_statements::drop_old(steady_time now) {
    std::erase_if(this->endpoints, [now](const auto& each) {
        return now - each.second.changed_at > config::limit_memory &&
               now - each.second.stated_at > config::limit_memory;
    });
    std::erase_if(this->availabilities, [now](const auto& each) {
        return each.second.leaving_until <= now && each.second.paused_until <= now && each.second.cold_until <= now;
    });
}

} // namespace pomelohoist
