#include "docs/page.h"

#include "agent/agent_daemon.h"
#include "declaration/declaration_file.h"
#include "declaration/object_rules.h"
#include "direct/direct_daemon.h"
#include "entry/entry_daemon.h"
#include "operator/operator_arguments.h"
#include "ranks/rank_daemon.h"
#include "row_platform.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>

/// Checks docs/operators.md and docs/OPERATIONS.md against the code.
namespace pomelohoist::docs {
namespace {

using testing::HasSubstr;

const std::string page_file = POMELOHOIST_SOURCE_DIR "/docs/operators.md";
// The page on direct forwarding and the rank processes.
const std::string direct_page_file = POMELOHOIST_SOURCE_DIR "/docs/OPERATIONS.md";

/// @returns the table rows of the sections with this heading on both pages
std::vector<table_row> rows_of_both_pages(const std::string& heading) {
    std::vector<table_row> rows = table_rows(section_of_page(read_text(page_file), heading));
    const std::vector<table_row> more = table_rows(section_of_page(read_text(direct_page_file), heading));
    rows.insert(rows.end(), more.begin(), more.end());
    return rows;
}

const std::set<std::string> empty_set;

/// @returns the elements of `expected` that are not in `present`
std::set<std::string> missing(const std::set<std::string>& expected, const std::set<std::string>& present) {
    std::set<std::string> only_expected;
    std::set_difference(expected.begin(), expected.end(), present.begin(), present.end(),
                        std::inserter(only_expected, only_expected.end()));
    return only_expected;
}

class no_platform : public entry_platform_factory {
  public:
    result<entry_platform> connect(const settings& /*checked*/, const daemon_context& /*context*/,
                                   inner::datagram_endpoint& /*calls*/, const entry_addresses& /*bound*/) override {
        return failure{error_kind::internal, "not used"};
    }
};

settings_schema with_common(const settings_schema& own) {
    settings_schema schema = common_schema();
    schema.insert(schema.end(), own.begin(), own.end());
    return schema;
}

settings_schema entry_schema() {
    no_platform connector;
    return with_common(entry_daemon_factory{connector}.schema());
}

settings_schema agent_schema() {
    return with_common(agent_daemon_factory{configuration_source_factory{}}.schema());
}

settings_schema all_settings() {
    settings_schema schema = entry_schema();
    const system_clock time;
    platform::row_platform connector{time};
    for (const settings_schema& schema_part :
         {agent_schema(), direct_daemon_factory{connector}.schema(), rank_daemon_factory{connector}.schema()}) {
        schema.insert(schema.end(), schema_part.begin(), schema_part.end());
    }
    return schema;
}

/// @returns the keys that are allowed for an object of this kind, as listed by the error message of the declaration
/// check
std::set<std::string> declaration_keys(object_kind kind) {
    const std::vector<field_error> errors = check_object({kind, "x"}, {{{"no_such_key", "1"}}});
    for (const field_error& error : errors) {
        if (error.key == "no_such_key") {
            return all_matches(error.reason.substr(error.reason.find(';')), R"(([a-z][a-z_0-9]+)(?:, |$))");
        }
    }
    return {};
}

// Guards against a setting that is missing on the pages or documented with a wrong default.
TEST(operators_page_test, names_every_setting_with_its_default) {
    const std::vector<table_row> rows = rows_of_both_pages("## Settings");
    for (const setting_spec& spec : all_settings()) {
        const std::string default_text = spec.default_value.empty() ? "none" : "`" + spec.default_value + "`";
        const std::string expected = spec.required ? "required" : default_text;
        // A key that several daemons define with different defaults has one row per default.
        const bool is_listed = std::any_of(rows.begin(), rows.end(), [&](const table_row& candidate) {
            return candidate.cells.front() == "`" + spec.key + "`" && candidate.cells.at(2) == expected;
        });
        EXPECT_TRUE(is_listed) << spec.key << ", default " << expected;
    }
}

// Guards against a key on the pages that no daemon accepts.
TEST(operators_page_test, names_no_setting_that_does_not_exist) {
    std::set<std::string> defined;
    std::set<std::string> sections;
    for (const setting_spec& spec : all_settings()) {
        defined.insert(spec.key);
        sections.insert(spec.key.substr(0, spec.key.find('.')));
    }
    const std::string page = read_text(page_file) + read_text(direct_page_file);
    std::set<std::string> documented;
    for (const std::string& word : all_matches(page, R"(`([a-z_]+\.[a-z_]+)`)")) {
        // Span names contain a dot too, but their first part is no section of the settings.
        if (sections.contains(word.substr(0, word.find('.')))) {
            documented.insert(word);
        }
    }
    EXPECT_EQ(defined, documented);
}

// Guards against examples of settings and declarations that the programs refuse.
TEST(operators_page_test, examples_are_valid) {
    int checked = 0;
    for (const std::string& block : ini_blocks(read_text(page_file))) {
        const std::string file = testing::TempDir() + "operators_page_block.ini";
        std::ofstream{file} << block;
        if (block.starts_with("[process]")) {
            const bool is_entry = block.find("[http]") != std::string::npos;
            const result<settings> loaded = settings::load(file, is_entry ? entry_schema() : agent_schema());
            EXPECT_TRUE(loaded) << loaded.last_error().reason;
        } else {
            const result<object_map> read = read_declarations({file});
            EXPECT_TRUE(read) << read.last_error().reason;
        }
        ++checked;
    }
    EXPECT_EQ(checked, 4);
}

// Guards against a declaration key that is missing on the page, or is listed under a kind that does not allow it.
TEST(operators_page_test, names_the_keys_of_every_kind) {
    const std::string declarations = section_of_page(read_text(page_file), "## Declarations");
    const std::vector<std::pair<object_kind, std::string>> kinds{{object_kind::workspace, "\nWorkspace, "},
                                                                 {object_kind::application, "\nApplication, "},
                                                                 {object_kind::endpoint, "\nEndpoint, "},
                                                                 {object_kind::selector, "\nSelector, "}};
    ASSERT_EQ(kinds.size(), static_cast<std::size_t>(object_kind::count));
    for (const auto& [kind, heading] : kinds) {
        std::set<std::string> documented;
        for (const table_row& row : first_table(declarations.substr(declarations.find(heading)))) {
            documented.insert(row.cells.front().substr(1, row.cells.front().size() - 2));
        }
        const std::set<std::string> defined = declaration_keys(kind);
        ASSERT_FALSE(defined.empty());
        EXPECT_EQ(documented, defined) << heading;
    }
}

// Guards against an error kind that is missing on the page, or is documented with a wrong status or Retry-After.
TEST(operators_page_test, error_table_matches_the_code) {
    const std::vector<table_row> rows = table_rows(section_of_page(read_text(page_file), "## Errors"));
    ASSERT_EQ(rows.size(), static_cast<std::size_t>(error_kind::count));
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const error_info& info = error_info_of(static_cast<error_kind>(i));
        EXPECT_EQ(rows[i].cells.at(0), "`" + std::string{info.name} + "`");
        EXPECT_EQ(rows[i].cells.at(1), std::to_string(info.http_status)) << info.name;
        EXPECT_EQ(rows[i].cells.at(2), info.retry_after_s == 0 ? "-" : std::to_string(info.retry_after_s)) << info.name;
    }
}

// Guards against a command, option or exit status of the operator program that is missing on the page, and against a
// documented command that does not exist.
TEST(operators_page_test, names_every_command_option_and_exit_status) {
    const std::string help = parse_operator_arguments({"--help"}, "").text;
    const std::string part = section_of_page(read_text(page_file), "## Command line");
    const std::set<std::string> commands = all_matches(help, R"(\n  pomelohoist ([a-z]+))");
    ASSERT_EQ(commands.size(), static_cast<std::size_t>(operator_verb::count));
    EXPECT_EQ(all_matches(part, R"(\n\| `pomelohoist ([a-z]+))"), commands);
    const std::set<std::string> options = all_matches(help, R"((--[a-z-]+))");
    EXPECT_EQ(missing(options, all_matches(part, R"((--[a-z][a-z-]*))")), empty_set);
    for (const std::string& status : all_matches(help, R"(\n  ([0-9])  )")) {
        EXPECT_THAT(part, HasSubstr("\n| " + status + " | "));
    }
}

// Guards against a metric that is missing on the pages, and against a documented metric that does not exist.
TEST(operators_page_test, names_every_metric) {
    const std::set<std::string> defined =
        source_matches(R"re((?:get_counter|get_histogram|add_gauge)\(\s*"([a-z_]+)")re");
    ASSERT_GE(defined.size(), 11U);
    std::set<std::string> documented;
    for (const table_row& row : rows_of_both_pages("## Metrics")) {
        documented.insert(row.cells.front().substr(std::string{"`pomelohoist_"}.size()));
    }
    std::set<std::string> expected;
    for (const std::string& name : defined) {
        expected.insert(name + "`");
    }
    EXPECT_EQ(documented, expected);
}

// Guards against a log event that is missing on the pages, and against a documented event that does not exist.
TEST(operators_page_test, names_every_log_event) {
    const std::set<std::string> defined = source_matches(R"re(log\.(?:debug|info|warn|error)\(\s*"([a-z_]+)")re");
    ASSERT_GE(defined.size(), 20U);
    std::set<std::string> documented;
    for (const table_row& row : rows_of_both_pages("## Log events")) {
        documented.insert(row.cells.front().substr(1, row.cells.front().size() - 2));
    }
    EXPECT_EQ(documented, defined);
}

// Guards against a span or an attribute that is missing on the page.
TEST(operators_page_test, names_every_span_and_attribute) {
    const std::set<std::string> spans = source_matches(R"re(scoped_span \w+\{[^;]*?"([a-z_]+\.[a-z_]+)")re");
    ASSERT_GE(spans.size(), 4U);
    const std::string part = section_of_page(read_text(page_file), "## Spans");
    std::set<std::string> documented;
    for (const table_row& row : table_rows(part)) {
        documented.insert(row.cells.front().substr(1, row.cells.front().size() - 2));
    }
    EXPECT_EQ(documented, spans);
    const std::set<std::string> attributes = source_matches(R"re((?:span\.|this->)set\("([a-z_.]+)")re");
    ASSERT_GE(attributes.size(), 7U);
    EXPECT_EQ(missing(attributes, all_matches(part, "`([a-z_.]+)`")), empty_set);
}

} // namespace
} // namespace pomelohoist::docs
