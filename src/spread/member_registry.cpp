#include "spread/member_registry.h"

#include <nlohmann/json.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace pomelohoist {

namespace {

using nlohmann::json;

const std::string member_prefix = "member/entry/";
constexpr std::chrono::seconds retry_interval{5};
constexpr double min_jitter = 0.75;
constexpr double jitter_width = 0.5;

std::string to_text(const member& content) {
    return json{{"name", content.name},
                {"inner", content.inner.to_string()},
                {"http", content.http.to_string()},
                {"data_centre", content.data_centre}}
        .dump();
}

std::optional<member> parse(const std::string& text) {
    try {
        const json content = json::parse(text);
        const auto inner = net_address::parse(content.at("inner").get<std::string>());
        const auto http = net_address::parse(content.at("http").get<std::string>());
        if (!inner || !http) {
            return std::nullopt;
        }
        return member{content.at("name").get<std::string>(), *inner, *http,
                      content.at("data_centre").get<std::string>()};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

result<std::vector<member>> list_members(table_service& table) {
    const result<std::vector<table_row>> rows = table.list(member_prefix);
    if (!rows) {
        return rows.last_error();
    }
    std::vector<member> members;
    for (const table_row& row : *rows) {
        std::optional<member> content = parse(row.value);
        if (content) {
            members.push_back(std::move(*content));
        }
    }
    return members;
}

member_registry::member_registry(table_service& rows, const clock& time_source, random_source& random_numbers,
                                 member own)
    : table(rows), time(time_source), random(random_numbers), self(std::move(own)) {}

member_registry::~member_registry() {
    this->stop();
}

void member_registry::start() {
    this->thread = std::thread{[this] { this->loop(); }};
}

void member_registry::stop() {
    if (!this->thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stop_requested.notify_all();
    this->thread.join();
    // If the store is down, other entries remove the row after `row_lifetime`.
    this->table.commit(table_transaction{{}, {row_write{member_prefix + this->self.name, std::nullopt}}});
}

void member_registry::loop() {
    while (true) {
        const std::chrono::duration<double> base = this->refresh() ? refresh_interval : retry_interval;
        const auto pause = base * (min_jitter + jitter_width * this->random.next_fraction());
        std::unique_lock lock{this->mutex};
        if (this->stop_requested.wait_for(lock, pause, [this] { return this->stopping; })) {
            return;
        }
    }
}

result<done> member_registry::refresh() {
    const result<transaction_outcome> written =
        this->table.commit(table_transaction{{}, {row_write{member_prefix + this->self.name, to_text(this->self)}}});
    if (!written) {
        return written.last_error();
    }
    return this->remove_expired();
}

result<done> member_registry::remove_expired() {
    const result<std::vector<table_row>> rows = this->table.list(member_prefix);
    if (!rows) {
        return rows.last_error();
    }
    const steady_time now = this->time.now();
    std::map<std::string, observed_row> seen;
    for (const table_row& row : *rows) {
        const auto previous = this->observed.find(row.key);
        if (previous == this->observed.end() || previous->second.revision != row.revision) {
            seen[row.key] = {row.revision, now};
            continue;
        }
        if (now - previous->second.since <= row_lifetime) {
            seen[row.key] = previous->second;
            continue;
        }
        // The condition keeps a row that its owner refreshes concurrently.
        this->table.commit(
            table_transaction{{row_condition{row.key, row.revision}}, {row_write{row.key, std::nullopt}}});
    }
    this->observed = std::move(seen);
    return done{};
}

} // namespace pomelohoist
