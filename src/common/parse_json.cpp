#include "common/parse_json.h"

#include <pomelohoist/config.h>

#include <nlohmann/json.hpp>

#include <exception>

namespace pomelohoist {

namespace {

class nesting_too_deep : public std::exception {
  public:
    [[nodiscard]] const char* what() const noexcept override { return "nested too deeply"; }
};

} // namespace

nlohmann::json parse_json(const std::string& text) {
    using nlohmann::json;
    return json::parse(text, [](int depth, json::parse_event_t /*event*/, json& /*parsed*/) {
        if (depth > config::max_json_depth) {
            throw nesting_too_deep{};
        }
        return true;
    });
}

} // namespace pomelohoist
