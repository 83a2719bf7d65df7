#include "platform_state.h"

#include "platform/base64.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace pomelohoist::standin {

namespace {

using nlohmann::json;

/// Reads a 64-bit integer. etcd's JSON form writes such integers as strings and accepts strings and numbers.
std::uint64_t to_integer(const json& number) {
    return number.is_string() ? std::stoull(number.get<std::string>()) : number.get<std::uint64_t>();
}

/// @returns the key prefix under which accesses to the key are counted: the first segment of the key, or the first two
/// segments of the key of a configuration row, since the load differs by kind of row
std::string count_prefix(const std::string& key) {
    const auto first = key.find('/');
    if (first == std::string::npos || key.compare(0, first, "config") != 0) {
        return key.substr(0, first);
    }
    return key.substr(0, key.find('/', first + 1));
}

} // namespace

platform_state::platform_state(double weight_requests_per_second, std::chrono::milliseconds host_list_lag,
                               std::uint64_t seed)
    : weight_rate(weight_requests_per_second), weight_tokens(std::max(1.0, weight_requests_per_second)),
      weight_refill(std::chrono::steady_clock::now()), lag(host_list_lag), engine(seed) {
    const json empty{{"version", 0}, {"live", json::array()}, {"leaving", json::array()}};
    this->hosts.push_back({this->weight_refill, empty});
}

json platform_state::header() const {
    return {{"revision", std::to_string(this->revision)}};
}

json platform_state::range(const json& request) {
    const std::string first = decode_base64(request.at("key").get<std::string>());
    const std::string end = decode_base64(request.value("range_end", std::string{}));
    const std::lock_guard lock{this->mutex};
    ++this->accesses[count_prefix(first)].reads;
    json found = json::array();
    const auto begin = this->rows.lower_bound(first);
    for (auto row = begin; row != this->rows.end(); ++row) {
        if (end.empty() ? row->first != first : row->first >= end) {
            break;
        }
        found.push_back({{"key", encode_base64(row->first)},
                         {"value", encode_base64(row->second.value)},
                         {"mod_revision", std::to_string(row->second.mod_revision)}});
    }
    const std::string total = std::to_string(found.size());
    return {{"header", this->header()}, {"kvs", std::move(found)}, {"count", total}};
}

bool platform_state::holds(const json& comparison) {
    const std::string key = decode_base64(comparison.at("key").get<std::string>());
    if (comparison.at("target") != "MOD" || comparison.value("result", std::string{"EQUAL"}) != "EQUAL") {
        throw std::invalid_argument("only comparisons MOD EQUAL are supported");
    }
    const auto row = this->rows.find(key);
    const std::uint64_t current = row == this->rows.end() ? 0 : row->second.mod_revision;
    return current == to_integer(comparison.at("mod_revision"));
}

json platform_state::apply(const json& operation) {
    if (operation.contains("request_put")) {
        const json& put = operation.at("request_put");
        const std::string key = decode_base64(put.at("key").get<std::string>());
        stored_row& row = this->rows[key];
        row.mod_revision = this->revision;
        row.value = decode_base64(put.value("value", std::string{}));
        ++this->accesses[count_prefix(key)].writes;
        return {{"response_put", {{"header", this->header()}}}};
    }
    const std::string key = decode_base64(operation.at("request_delete_range").at("key").get<std::string>());
    const std::size_t removed = this->rows.erase(key);
    ++this->accesses[count_prefix(key)].writes;
    return {{"response_delete_range", {{"header", this->header()}, {"deleted", std::to_string(removed)}}}};
}

json platform_state::txn(const json& request) {
    const std::lock_guard lock{this->mutex};
    const json conditions = request.value("compare", json::array());
    const bool succeeded =
        std::all_of(conditions.begin(), conditions.end(), [this](const json& each) { return this->holds(each); });
    const json operations = request.value(succeeded ? "success" : "failure", json::array());
    if (!operations.empty()) {
        ++this->revision;
    }
    json responses = json::array();
    for (const json& operation : operations) {
        responses.push_back(this->apply(operation));
    }
    return {{"header", this->header()}, {"succeeded", succeeded}, {"responses", std::move(responses)}};
}

std::optional<std::string> platform_state::get_object(const std::string& name) {
    const std::lock_guard lock{this->mutex};
    ++this->accesses["objects"].reads;
    const auto object = this->objects.find(name);
    return object == this->objects.end() ? std::nullopt : std::optional{object->second};
}

void platform_state::put_object(const std::string& name, std::string content) {
    const std::lock_guard lock{this->mutex};
    ++this->accesses["objects"].writes;
    this->objects[name] = std::move(content);
}

json platform_state::visible_hosts() {
    const std::lock_guard lock{this->mutex};
    ++this->accesses["hosts"].reads;
    while (this->hosts.size() > 1 && this->hosts[1].visible_from <= std::chrono::steady_clock::now()) {
        this->hosts.pop_front();
    }
    return this->hosts.front().content;
}

void platform_state::set_hosts(const json& host_list) {
    const std::lock_guard lock{this->mutex};
    const std::uint64_t next = this->hosts.back().content.at("version").get<std::uint64_t>() + 1;
    const json content{{"version", host_list.value("version", next)},
                       {"live", host_list.value("live", json::array())},
                       {"leaving", host_list.value("leaving", json::array())}};
    this->hosts.push_back({std::chrono::steady_clock::now() + this->lag, content});
}

bool platform_state::request_weights() {
    const std::lock_guard lock{this->mutex};
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - this->weight_refill;
    this->weight_refill = now;
    this->weight_tokens =
        std::min(std::max(1.0, this->weight_rate), this->weight_tokens + elapsed.count() * this->weight_rate);
    if (this->weight_tokens < 1.0) {
        return false;
    }
    this->weight_tokens -= 1.0;
    ++this->accesses["weights"].writes;
    return true;
}

fault_switches platform_state::faults() {
    const std::lock_guard lock{this->mutex};
    return this->switches;
}

void platform_state::set_faults(const json& update) {
    const std::lock_guard lock{this->mutex};
    if (update.contains("down")) {
        const json& down = update.at("down");
        this->switches.down = down.is_boolean() ? (down.get<bool>() ? "close" : "") : down.get<std::string>();
    }
    this->switches.slow_ms = update.value("slow_ms", this->switches.slow_ms);
    const json lose = update.value("lose_answers", json::object());
    this->switches.lose_share = lose.value("share", this->switches.lose_share);
    this->switches.lose_next = lose.value("next", this->switches.lose_next);
    this->weight_rate = update.value("weight_rate", this->weight_rate);
    this->lag = std::chrono::milliseconds{update.value("host_lag_ms", this->lag.count())};
}

bool platform_state::loses_response() {
    const std::lock_guard lock{this->mutex};
    if (this->switches.lose_next > 0) {
        --this->switches.lose_next;
        return true;
    }
    return std::bernoulli_distribution{this->switches.lose_share}(this->engine);
}

json platform_state::counts() {
    const std::lock_guard lock{this->mutex};
    json total{{"reads", 0}, {"writes", 0}, {"prefixes", json::object()}};
    for (const auto& [prefix, access] : this->accesses) {
        total["prefixes"][prefix] = {{"reads", access.reads}, {"writes", access.writes}};
        total["reads"] = total["reads"].get<std::uint64_t>() + access.reads;
        total["writes"] = total["writes"].get<std::uint64_t>() + access.writes;
    }
    return total;
}

} // namespace pomelohoist::standin
