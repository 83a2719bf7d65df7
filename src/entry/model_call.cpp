#include "entry/model_call.h"

#include "common/parse_json.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <nlohmann/json.hpp>

#include <limits>

namespace pomelohoist {

namespace {

using nlohmann::json;

std::string text_of(const json& content) {
    if (content.is_string()) {
        return content.get<std::string>();
    }
    return content.is_null() ? std::string{} : content.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string prompt_of(const json& body) {
    std::string prompt;
    if (const auto messages = body.find("messages"); messages != body.end() && messages->is_array()) {
        for (const json& message : *messages) {
            if (message.is_object()) {
                prompt +=
                    text_of(message.value("role", json{})) + "\n" + text_of(message.value("content", json{})) + "\n";
            }
        }
        return prompt;
    }
    return text_of(body.value("prompt", json{}));
}

std::uint32_t bounded_count(const json& body, const char* name, std::uint32_t fallback) {
    const auto found = body.find(name);
    if (found == body.end() || !found->is_number_unsigned()) {
        return fallback;
    }
    const auto number = found->get<std::uint64_t>();
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(number, std::numeric_limits<std::uint32_t>::max()));
}

result<model_call> read_call(const json& body) {
    if (!body.is_object()) {
        return failure{error_kind::bad_request, "the body must be a JSON object"};
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return failure{error_kind::bad_request, "\"model\" must be a string"};
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean()) {
        return failure{error_kind::bad_request, "\"stream\" must be true or false"};
    }
    if (body.contains("resume_from")) {
        return failure{error_kind::bad_request, "\"resume_from\" is reserved"};
    }
    const std::string prompt = prompt_of(body);
    model_call call;
    call.model = model->get<std::string>();
    call.stream = stream != body.end() && stream->get<bool>();
    // Only the beginning of the prompt is hashed, so that all turns of a conversation have the same hash.
    call.prefix_hash = hash64(prompt.substr(0, config::prefix_hash_bytes), hash64(call.model));
    call.prompt_tokens = static_cast<std::uint32_t>(prompt.size() / config::bytes_per_token) + 1;
    call.max_output_tokens =
        bounded_count(body, "max_completion_tokens", bounded_count(body, "max_tokens", config::default_output_tokens));
    return call;
}

} // namespace

result<model_call> parse_model_call(const std::string& body) {
    try {
        return read_call(parse_json(body));
    } catch (const std::exception& error) {
        return failure{error_kind::bad_request, std::string{"malformed JSON: "} + error.what()};
    }
}

std::string with_resume_from(const std::string& body, std::uint64_t tokens) {
    json resumed = json::parse(body);
    resumed["resume_from"] = tokens;
    return resumed.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace pomelohoist
