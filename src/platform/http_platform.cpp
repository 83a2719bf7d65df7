#include "platform/http_platform.h"

#include "common/parse_json.h"
#include "platform/base64.h"

#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <exception>
#include <utility>

namespace pomelohoist {

namespace {

using nlohmann::json;

constexpr std::size_t max_idle_clients = 8; // whose connections are kept open for later calls
constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_redirect = 300;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_too_many_requests = 429;
constexpr std::uint16_t status_server_error = 500;
constexpr const char* json_type = "application/json";
constexpr const char* binary_type = "application/octet-stream";

failure unavailable(const std::string& reason) {
    return {error_kind::store_unavailable, "platform: " + reason};
}

/// Reads an integer from a JSON number or string, because etcd's JSON form writes 64-bit integers as strings.
std::uint64_t to_integer(const json& number) {
    return number.is_string() ? std::stoull(number.get<std::string>()) : number.get<std::uint64_t>();
}

/// @returns the first key after all keys with the prefix; "\0" stands for the end of the table
std::string prefix_end(std::string prefix) {
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xFFU) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');
    }
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1U);
    return prefix;
}

std::vector<table_row> parse_rows(const std::string& body) {
    const json response = parse_json(body);
    std::vector<table_row> rows;
    const json found = response.value("kvs", json::array());
    rows.reserve(found.size());
    for (const json& row : found) {
        rows.push_back({decode_base64(row.at("key").get<std::string>()),
                        decode_base64(row.value("value", std::string{})), to_integer(row.at("mod_revision"))});
    }
    return rows;
}

json to_json(const table_transaction& transaction) {
    json conditions = json::array();
    for (const row_condition& condition : transaction.conditions) {
        conditions.push_back({{"key", encode_base64(condition.key)},
                              {"target", "MOD"},
                              {"result", "EQUAL"},
                              {"mod_revision", std::to_string(condition.revision)}});
    }
    json operations = json::array();
    for (const row_write& write : transaction.writes) {
        const std::string key = encode_base64(write.key);
        if (write.value) {
            operations.push_back({{"request_put", {{"key", key}, {"value", encode_base64(*write.value)}}}});
        } else {
            operations.push_back({{"request_delete_range", {{"key", key}}}});
        }
    }
    return {{"compare", std::move(conditions)}, {"success", std::move(operations)}, {"failure", json::array()}};
}

std::string object_path(const std::string& name) {
    std::string encoded;
    Poco::URI::encode(name, "?#", encoded);
    return "/objects/" + encoded;
}

} // namespace

http_platform::http_platform(net_address server, const clock& time_source, std::chrono::milliseconds timeout)
    : target(std::move(server)),
      time(time_source), limits{timeout, timeout + config::store_call_limit, config::max_response_bytes} {}

std::unique_ptr<http_client> http_platform::acquire_client() {
    const std::lock_guard lock{this->mutex};
    if (this->idle_clients.empty()) {
        return std::make_unique<http_client>(this->target, this->time);
    }
    auto client = std::move(this->idle_clients.back());
    this->idle_clients.pop_back();
    return client;
}

void http_platform::release_client(std::unique_ptr<http_client> client) {
    const std::lock_guard lock{this->mutex};
    if (this->idle_clients.size() < max_idle_clients) {
        this->idle_clients.push_back(std::move(client));
    }
}

result<http_reply> http_platform::exchange(const http_call& call) {
    auto client = this->acquire_client();
    result<http_reply> received = client->call(call, this->limits);
    this->release_client(std::move(client));
    if (!received) {
        return unavailable(received.last_error().reason);
    }
    if (received->head.status >= status_server_error) {
        return unavailable("status " + std::to_string(received->head.status));
    }
    return received;
}

result<std::string> http_platform::post_json(const std::string& path, const std::string& body) {
    const result<http_reply> response = this->exchange({"POST", path, body, json_type});
    if (!response) {
        return response.last_error();
    }
    if (response->head.status != status_ok) {
        return unavailable("status " + std::to_string(response->head.status));
    }
    return response->body;
}

result<std::optional<table_row>> http_platform::get(const std::string& key) {
    const result<std::string> body = this->post_json("/v3/kv/range", json{{"key", encode_base64(key)}}.dump());
    if (!body) {
        return body.last_error();
    }
    try {
        const std::vector<table_row> rows = parse_rows(*body);
        return rows.empty() ? std::nullopt : std::optional{rows.front()};
    } catch (const std::exception& error) {
        return unavailable(error.what());
    }
}

result<std::vector<table_row>> http_platform::list(const std::string& prefix) {
    const json request{{"key", encode_base64(prefix)}, {"range_end", encode_base64(prefix_end(prefix))}};
    const result<std::string> body = this->post_json("/v3/kv/range", request.dump());
    if (!body) {
        return body.last_error();
    }
    try {
        return parse_rows(*body);
    } catch (const std::exception& error) {
        return unavailable(error.what());
    }
}

result<transaction_outcome> http_platform::commit(const table_transaction& transaction) {
    const result<std::string> body = this->post_json("/v3/kv/txn", to_json(transaction).dump());
    if (!body) {
        return body.last_error();
    }
    try {
        const json response = parse_json(*body);
        return transaction_outcome{response.value("succeeded", false),
                                   to_integer(response.at("header").at("revision"))};
    } catch (const std::exception& error) {
        return unavailable(error.what());
    }
}

result<std::optional<std::string>> http_platform::get_object(const std::string& name) {
    result<http_reply> response = this->exchange({"GET", object_path(name), "", ""});
    if (!response) {
        return response.last_error();
    }
    if (response->head.status == status_not_found) {
        return std::optional<std::string>{};
    }
    if (response->head.status != status_ok) {
        return unavailable("status " + std::to_string(response->head.status));
    }
    return std::optional{std::move(response->body)};
}

result<done> http_platform::put_object(const std::string& name, const std::string& content) {
    const result<http_reply> response = this->exchange({"PUT", object_path(name), content, binary_type});
    if (!response) {
        return response.last_error();
    }
    if (response->head.status >= status_redirect) {
        return unavailable("status " + std::to_string(response->head.status));
    }
    return done{};
}

result<host_list_content> http_platform::read_hosts() {
    const result<http_reply> response = this->exchange({"GET", "/hosts", "", ""});
    if (!response) {
        return response.last_error();
    }
    try {
        const json content = parse_json(response->body);
        return host_list_content{content.at("version").get<std::uint64_t>(),
                                 content.at("leaving").get<std::vector<std::string>>()};
    } catch (const std::exception& error) {
        return unavailable(error.what());
    }
}

result<done> http_platform::fetch_expert(const std::string& group, std::uint32_t layer, std::uint32_t expert,
                                         std::uint32_t rank) {
    std::string path;
    Poco::URI::encode("/weights/" + group, "?#", path);
    path += "/" + std::to_string(layer) + "/" + std::to_string(expert) + "?rank=" + std::to_string(rank);
    const result<http_reply> response = this->exchange({"POST", path, "", ""});
    if (!response) {
        return response.last_error();
    }
    if (response->head.status == status_too_many_requests) {
        return failure{error_kind::overloaded, "weight store: rate used up"};
    }
    if (response->head.status >= status_redirect) {
        return unavailable("status " + std::to_string(response->head.status));
    }
    return done{};
}

std::unique_ptr<http_platform> make_platform_client(const net_address& server, const clock& time_source) {
    return std::make_unique<http_platform>(server, time_source);
}

} // namespace pomelohoist
