#include "http/connection_fields.h"

#include "http/field_syntax.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace pomelohoist {

namespace {

constexpr std::array<std::string_view, 10> connection_fields{
    "connection", "content-length",    "expect", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "transfer-encoding", "upgrade"};

} // namespace

bool is_connection_field(std::string_view name) {
    return std::any_of(connection_fields.begin(), connection_fields.end(),
                       [name](std::string_view known) { return equals_ignoring_case(known, name); });
}

std::vector<std::string> connection_options(const std::vector<inner::header_field>& fields) {
    std::vector<std::string> options;
    for (const inner::header_field& field : fields) {
        if (!equals_ignoring_case(field.name, "connection")) {
            continue;
        }
        std::string_view list = field.value;
        while (!list.empty()) {
            const std::size_t comma = std::min(list.find(','), list.size());
            options.push_back(Poco::toLower(std::string{trim_field_value(list.substr(0, comma))}));
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
    }
    return options;
}

bool has_connection_option(const std::vector<inner::header_field>& fields, std::string_view option) {
    const std::vector<std::string> options = connection_options(fields);
    return std::find(options.begin(), options.end(), option) != options.end();
}

std::vector<inner::header_field> end_to_end_fields(const std::vector<inner::header_field>& fields) {
    const std::vector<std::string> dropped = connection_options(fields);
    std::vector<inner::header_field> kept;
    std::copy_if(fields.begin(), fields.end(), std::back_inserter(kept), [&dropped](const inner::header_field& field) {
        return !is_connection_field(field.name) &&
               std::find(dropped.begin(), dropped.end(), Poco::toLower(field.name)) == dropped.end();
    });
    return kept;
}

std::vector<inner::header_field> response_fields(const std::vector<inner::header_field>& fields, bool is_head_request) {
    std::vector<inner::header_field> kept = end_to_end_fields(fields);
    if (is_head_request) {
        std::copy_if(fields.begin(), fields.end(), std::back_inserter(kept), [](const inner::header_field& field) {
            return equals_ignoring_case(field.name, "content-length");
        });
    }
    return kept;
}

} // namespace pomelohoist
