#include "row_store.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <sstream>

namespace review {

namespace {

using nlohmann::json;

constexpr const char* base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t max_page_rows = 500;
constexpr auto idle_time = std::chrono::seconds{30};

std::string encode_base64(const std::string& text) {
    std::string encoded;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        bits = (bits << 8U) | static_cast<unsigned char>(c);
        for (count += 8; count >= 6; count -= 6) {
            encoded += base64_digits[(bits >> static_cast<unsigned>(count - 6)) & 63U];
        }
    }
    if (count > 0) {
        encoded += base64_digits[(bits << static_cast<unsigned>(6 - count)) & 63U];
    }
    encoded.append((4 - encoded.size() % 4) % 4, '=');
    return encoded;
}

std::string decode_base64(const std::string& encoded) {
    const std::string digits{base64_digits};
    std::string text;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : encoded) {
        const std::size_t digit = digits.find(c);
        if (digit == std::string::npos) {
            break;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count >= 8) {
            count -= 8;
            text += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
        }
    }
    return text;
}

std::string url_decoded(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::istringstream parts{mark == std::string::npos ? "" : target.substr(mark + 1)};
    for (std::string part; std::getline(parts, part, '&');) {
        const std::size_t equals = part.find('=');
        query[part.substr(0, equals)] = equals == std::string::npos ? "" : url_decoded(part.substr(equals + 1));
    }
    return query;
}

} // namespace

row_store::row_store(const std::string& ip)
    : server(std::make_unique<listener>(address{ip, 0}, [this](connection& caller) { this->serve(caller); })) {}

void row_store::put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock{this->mutex};
    this->rows[{table, key}] = {value, ++this->version, false};
    this->changed.notify_all();
}

void row_store::remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock{this->mutex};
    this->rows[{table, key}] = {"", ++this->version, true};
    this->changed.notify_all();
}

void row_store::serve(connection& caller) {
    http_reader reader{caller};
    while (true) {
        const auto request = reader.read(std::chrono::steady_clock::now() + idle_time);
        if (!request || !request->is_complete) {
            return;
        }
        const reply answer = this->dispatch(*request);
        const std::string bytes =
            "HTTP/1.1 " + std::to_string(answer.status) +
            " Reply\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.body.size()) +
            "\r\n\r\n" + answer.body;
        if (!caller.send_all(bytes)) {
            return;
        }
    }
}

row_store::reply row_store::dispatch(const http_message& request) {
    const std::string path = request.target().substr(0, request.target().find('?'));
    if (path == "/-/rows-tx") {
        return this->transact(request.body);
    }
    if (path == "/-/rows-get") {
        return this->read(query_of(request.target()));
    }
    return path == "/-/rows-feed" ? this->feed(query_of(request.target())) : reply{404, "{}"};
}

row_store::reply row_store::transact(const std::string& body) {
    const json call = json::parse(body);
    const std::lock_guard lock{this->mutex};
    for (const json& expected : call.value("expected_rev", json::array())) {
        const auto found = this->rows.find({expected.at("table"), expected.at("key")});
        const bool exists = found != this->rows.end() && !found->second.is_removed;
        if ((exists ? found->second.version : 0) != expected.at("ver").get<std::uint64_t>()) {
            return {412, json{{"rows", json::array()}, {"ver", this->version}, {"now_ms", 0}}.dump()};
        }
    }
    for (const char* list : {"set_keys", "remove"}) {
        for (const json& row : call.value(list, json::array())) {
            if (row.at("table") == "op" || row.at("table") == "servers") {
                return {403, "{}"};
            }
        }
    }
    ++this->version;
    for (const json& row : call.value("set_keys", json::array())) {
        this->rows[{row.at("table"), row.at("key")}] = {decode_base64(row.at("value")), this->version, false};
    }
    for (const json& row : call.value("remove", json::array())) {
        this->rows[{row.at("table"), row.at("key")}] = {"", this->version, true};
    }
    this->changed.notify_all();
    return {200, json{{"ver", this->version}, {"now_ms", 0}}.dump()};
}

row_store::reply row_store::read(const std::map<std::string, std::string>& query) {
    const std::string table = query.at("table");
    const std::string from = query.contains("from") ? query.at("from") : "";
    const std::lock_guard lock{this->mutex};
    json found = json::array();
    bool has_more = false;
    for (const auto& [key, content] : this->rows) {
        if (key.first != table || key.second < from || content.is_removed) {
            continue;
        }
        has_more = found.size() == max_page_rows;
        if (has_more) {
            break;
        }
        found.push_back({{"table", table},
                         {"part", ""},
                         {"key", key.second},
                         {"value", encode_base64(content.value)},
                         {"ver", content.version}});
    }
    return {200, json{{"rows", found}, {"has_more", has_more}, {"ver", this->version}, {"now_ms", 0}}.dump()};
}

row_store::reply row_store::feed(const std::map<std::string, std::string>& query) {
    const std::string table = query.at("table");
    const std::uint64_t after = std::stoull(query.at("after_rev"));
    const auto wait = std::chrono::milliseconds{query.contains("wait_ms") ? std::stoi(query.at("wait_ms")) : 0};
    std::unique_lock lock{this->mutex};
    json found = json::array();
    this->changed.wait_for(lock, wait, [&] {
        for (const auto& [key, content] : this->rows) {
            if (key.first != table || content.version <= after) {
                continue;
            }
            json row{{"table", table}, {"part", ""}, {"key", key.second}, {"ver", content.version}};
            row[content.is_removed ? "deleted" : "value"] =
                content.is_removed ? json(true) : json(encode_base64(content.value));
            found.push_back(std::move(row));
        }
        return !found.empty();
    });
    return {200, json{{"rows", found}, {"ver", this->version}, {"now_ms", 0}}.dump()};
}

} // namespace review
