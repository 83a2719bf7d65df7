#include "replay/request_trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <limits>
#include <optional>
#include <random>

namespace pomelohoist {

namespace {

using nlohmann::json;

// The workspaces differ in size and have a few hundred prompt prefixes in total; many requests use a popular prefix.
constexpr std::uint32_t workspace_count = 10;
constexpr std::uint32_t prefixes_per_workspace = 24;
constexpr double popularity_exponent = 1.0;
constexpr double median_prompt_tokens = 1500.0;
constexpr double prompt_deviation = 0.5;
constexpr double mean_output_tokens = 120.0;

std::optional<std::uint32_t> read_count(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    return found->get<std::uint32_t>();
}

/// @returns a name, which may be written as a string or as a number, or `std::nullopt`
std::optional<std::string> read_name(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || !(found->is_string() || found->is_number())) {
        return std::nullopt;
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// @returns the reason why the line is not valid, or nothing
std::optional<std::string> parse_request(const json& object, request_record& request) {
    if (!object.is_object()) {
        return "not a JSON object";
    }
    const auto at = object.find("at_ms");
    if (at == object.end() || !at->is_number() || !(at->get<double>() >= 0.0) || !std::isfinite(at->get<double>())) {
        return "at_ms is not a number of at least 0";
    }
    request.at_ms = at->get<double>();
    for (const auto& [key, target] :
         {std::pair{"workspace", &request.workspace}, std::pair{"application", &request.application},
          std::pair{"prefix", &request.prefix}}) {
        const std::optional<std::string> name = read_name(object, key);
        if (!name) {
            return std::string{key} + " is not a string or a number";
        }
        *target = *name;
    }
    for (const auto& [key, target] :
         {std::pair{"prompt_tokens", &request.prompt_tokens}, std::pair{"output_tokens", &request.output_tokens}}) {
        const std::optional<std::uint32_t> number = read_count(object, key);
        if (!number) {
            return std::string{key} + " is not a whole number of at least 0";
        }
        *target = *number;
    }
    const auto idempotent = object.find("idempotent");
    if (idempotent == object.end() || !idempotent->is_boolean()) {
        return "idempotent is not true or false";
    }
    request.idempotent = idempotent->get<bool>();
    return std::nullopt;
}

/// @returns a random number below `count`; number n has the weight 1 / (n + 1)
std::uint32_t sample_zipf(std::mt19937_64& engine, std::uint32_t count) {
    std::vector<double> weights;
    for (std::uint32_t i = 0; i < count; ++i) {
        weights.push_back(std::pow(i + 1.0, -popularity_exponent));
    }
    return std::discrete_distribution<std::uint32_t>{weights.begin(), weights.end()}(engine);
}

} // namespace

bool is_request_trace(const std::string& file) {
    std::ifstream stream{file};
    std::string line;
    std::getline(stream, line);
    const json object = json::parse(line, nullptr, false);
    return object.is_object() && object.value("kind", json{}) == "requests";
}

result<std::vector<request_record>> read_request_trace(const std::string& file) {
    std::ifstream stream{file};
    std::uint64_t line_number = 0;
    const auto fail = [&file, &line_number](const std::string& reason) {
        return failure{error_kind::bad_request, file + ":" + std::to_string(line_number) + ": " + reason};
    };
    std::vector<request_record> requests;
    bool has_header = false;
    for (std::string line; std::getline(stream, line);) {
        ++line_number;
        if (line.find_first_not_of(" \t\r") == std::string::npos) {
            continue;
        }
        const json object = json::parse(line, nullptr, false);
        if (!has_header) {
            if (!object.is_object() || object.value("kind", json{}) != "requests") {
                return fail("the first line is not {\"kind\":\"requests\"}");
            }
            has_header = true;
            continue;
        }
        request_record request;
        const std::optional<std::string> error = parse_request(object, request);
        if (error) {
            return fail(*error);
        }
        requests.push_back(std::move(request));
    }
    if (!has_header) {
        return fail("cannot be read, or is empty");
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const request_record& left, const request_record& right) { return left.at_ms < right.at_ms; });
    return requests;
}

std::vector<request_record> generate_requests(std::uint64_t seed, std::size_t count, double requests_per_second) {
    constexpr double ms_per_second = 1000.0;
    std::mt19937_64 engine{seed};
    std::exponential_distribution<double> gap{requests_per_second / ms_per_second};
    std::lognormal_distribution<double> prompt{std::log(median_prompt_tokens), prompt_deviation};
    std::exponential_distribution<double> output{1.0 / mean_output_tokens};
    std::vector<request_record> requests;
    requests.reserve(count);
    double now = 0.0;
    for (std::size_t i = 0; i < count; ++i) {
        now += gap(engine);
        request_record request;
        request.at_ms = std::round(now);
        request.workspace = "w" + std::to_string(sample_zipf(engine, workspace_count));
        request.application = "drafts";
        request.prefix = request.workspace + "-" + std::to_string(sample_zipf(engine, prefixes_per_workspace));
        request.prompt_tokens = static_cast<std::uint32_t>(prompt(engine)) + 1;
        request.output_tokens = static_cast<std::uint32_t>(output(engine)) + 1;
        requests.push_back(std::move(request));
    }
    return requests;
}

result<done> write_request_trace(const std::vector<request_record>& requests, const std::string& file) {
    std::ofstream stream{file};
    stream << R"({"kind":"requests"})" << '\n';
    for (const request_record& request : requests) {
        stream << nlohmann::ordered_json{{"at_ms", request.at_ms},
                                         {"workspace", request.workspace},
                                         {"application", request.application},
                                         {"prefix", request.prefix},
                                         {"prompt_tokens", request.prompt_tokens},
                                         {"output_tokens", request.output_tokens},
                                         {"idempotent", request.idempotent}}
                      .dump()
               << '\n';
    }
    stream.flush();
    if (!stream) {
        return failure{error_kind::internal, file + ": cannot be written"};
    }
    return done{};
}

} // namespace pomelohoist
