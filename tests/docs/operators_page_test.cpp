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

/// Checks docs/operators.md against the code.
namespace pomelohoist::docs {
namespace {

using testing::HasSubstr;

const std::string page_file = POMELOHOIST_SOURCE_DIR "/docs/operators.md";
// Direct forwarding and the processes beside ranks have a page of their own.
const std::string direct_page_file = POMELOHOIST_SOURCE_DIR "/docs/OPERATIONS.md";

/// @returns the rows of a section on either page
std::vector<table_row> rows_of_both_pages(const std::string& heading) {
    std::vector<table_row> rows = table_rows(section_of_page(read_text(page_file), heading));
    const std::vector<table_row> more = table_rows(section_of_page(read_text(direct_page_file), heading));
    rows.insert(rows.end(), more.begin(), more.end());
    return rows;
}

const std::set<std::string> nothing;

/// @returns what is in `wanted` and not in `present`
std::set<std::string> missing(const std::set<std::string>& wanted, const std::set<std::string>& present) {
    std::set<std::string> left;
    std::set_difference(wanted.begin(), wanted.end(), present.begin(), present.end(), std::inserter(left, left.end()));
    return left;
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
    platform::row_platform connector;
    for (const settings_schema& other :
         {agent_schema(), direct_daemon_factory{connector}.schema(), rank_daemon_factory{connector}.schema()}) {
        schema.insert(schema.end(), other.begin(), other.end());
    }
    return schema;
}

/// @returns the keys that a section of this kind may hold, as the check of declarations names them
std::set<std::string> declaration_keys(object_kind kind) {
    const std::vector<field_error> errors = check_object({kind, "x"}, {{{"no_such_key", "1"}}});
    for (const field_error& error : errors) {
        if (error.key == "no_such_key") {
            return all_matches(error.reason.substr(error.reason.find(';')), R"(([a-z][a-z_0-9]+)(?:, |$))");
        }
    }
    return {};
}

// Guards against a setting that operators cannot find out about, or whose default on the page is another.
TEST(operators_page_test, names_every_setting_with_its_default) {
    const std::vector<table_row> rows = rows_of_both_pages("## Settings");
    for (const setting_spec& spec : all_settings()) {
        const std::string given = spec.default_value.empty() ? "none" : "`" + spec.default_value + "`";
        const std::string wanted = spec.required ? "required" : given;
        // A key that both daemons know with different defaults has a row for each.
        const bool is_listed = std::any_of(rows.begin(), rows.end(), [&](const table_row& candidate) {
            return candidate.cells.front() == "`" + spec.key + "`" && candidate.cells.at(2) == wanted;
        });
        EXPECT_TRUE(is_listed) << spec.key << ", default " << wanted;
    }
}

// Guards against a key that the daemons refuse, which an operator has copied from the page.
TEST(operators_page_test, names_no_setting_that_does_not_exist) {
    std::set<std::string> known;
    std::set<std::string> sections;
    for (const setting_spec& spec : all_settings()) {
        known.insert(spec.key);
        sections.insert(spec.key.substr(0, spec.key.find('.')));
    }
    const std::string page = read_text(page_file) + read_text(direct_page_file);
    std::set<std::string> named;
    for (const std::string& word : all_matches(page, R"(`([a-z_]+\.[a-z_]+)`)")) {
        // Names of spans have a dot too, and a first word that is no section.
        if (sections.contains(word.substr(0, word.find('.')))) {
            named.insert(word);
        }
    }
    EXPECT_EQ(known, named);
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

// Guards against a declaration key that is missing on the page, or stands there under a kind that refuses it.
TEST(operators_page_test, names_the_keys_of_every_kind) {
    const std::string declarations = section_of_page(read_text(page_file), "## Declarations");
    const std::vector<std::pair<object_kind, std::string>> kinds{{object_kind::workspace, "\nWorkspace, "},
                                                                 {object_kind::application, "\nApplication, "},
                                                                 {object_kind::endpoint, "\nEndpoint, "},
                                                                 {object_kind::selector, "\nSelector, "}};
    ASSERT_EQ(kinds.size(), static_cast<std::size_t>(object_kind::count));
    for (const auto& [kind, heading] : kinds) {
        std::set<std::string> named;
        for (const table_row& row : first_table(declarations.substr(declarations.find(heading)))) {
            named.insert(row.cells.front().substr(1, row.cells.front().size() - 2));
        }
        const std::set<std::string> known = declaration_keys(kind);
        ASSERT_FALSE(known.empty());
        EXPECT_EQ(named, known) << heading;
    }
}

// Guards against an error kind that a caller gets and cannot look up, and against another status or Retry-After.
TEST(operators_page_test, error_table_is_that_of_the_code) {
    const std::vector<table_row> rows = table_rows(section_of_page(read_text(page_file), "## Errors"));
    ASSERT_EQ(rows.size(), static_cast<std::size_t>(error_kind::count));
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const error_info& answer = error_info_of(static_cast<error_kind>(i));
        EXPECT_EQ(rows[i].cells.at(0), "`" + std::string{answer.name} + "`");
        EXPECT_EQ(rows[i].cells.at(1), std::to_string(answer.http_status)) << answer.name;
        EXPECT_EQ(rows[i].cells.at(2), answer.retry_after_s == 0 ? "-" : std::to_string(answer.retry_after_s))
            << answer.name;
    }
}

// Guards against a command, option or exit status of the operator program that the page does not explain, or invents.
TEST(operators_page_test, names_every_command_option_and_exit_status) {
    const std::string help = parse_operator_arguments({"--help"}, "").text;
    const std::string part = section_of_page(read_text(page_file), "## Command line");
    const std::set<std::string> commands = all_matches(help, R"(\n  pomelohoist ([a-z]+))");
    ASSERT_EQ(commands.size(), static_cast<std::size_t>(operator_verb::count));
    EXPECT_EQ(all_matches(part, R"(\n\| `pomelohoist ([a-z]+))"), commands);
    const std::set<std::string> options = all_matches(help, R"((--[a-z-]+))");
    EXPECT_EQ(missing(options, all_matches(part, R"((--[a-z][a-z-]*))")), nothing);
    for (const std::string& status : all_matches(help, R"(\n  ([0-9])  )")) {
        EXPECT_THAT(part, HasSubstr("\n| " + status + " | "));
    }
}

// Guards against a metric without a meaning on the page, and against an alarm on one that does not exist.
TEST(operators_page_test, names_every_metric) {
    const std::set<std::string> known =
        source_matches(R"re((?:get_counter|get_histogram|add_gauge)\(\s*"([a-z_]+)")re");
    ASSERT_GE(known.size(), 11U);
    std::set<std::string> named;
    for (const table_row& row : rows_of_both_pages("## Metrics")) {
        named.insert(row.cells.front().substr(std::string{"`pomelohoist_"}.size()));
    }
    std::set<std::string> expected;
    for (const std::string& name : known) {
        expected.insert(name + "`");
    }
    EXPECT_EQ(named, expected);
}

// Guards against a log line that an operator meets and cannot look up.
TEST(operators_page_test, names_every_log_event) {
    const std::set<std::string> known = source_matches(R"re(log\.(?:debug|info|warn|error)\(\s*"([a-z_]+)")re");
    ASSERT_GE(known.size(), 20U);
    std::set<std::string> named;
    for (const table_row& row : rows_of_both_pages("## Log events")) {
        named.insert(row.cells.front().substr(1, row.cells.front().size() - 2));
    }
    EXPECT_EQ(named, known);
}

// Guards against a span or an attribute that stands in a trace and not on the page.
TEST(operators_page_test, names_every_span_and_attribute) {
    const std::set<std::string> spans = source_matches(R"re(scoped_span \w+\{[^;]*?"([a-z_]+\.[a-z_]+)")re");
    ASSERT_GE(spans.size(), 4U);
    const std::string part = section_of_page(read_text(page_file), "## Spans");
    std::set<std::string> named;
    for (const table_row& row : table_rows(part)) {
        named.insert(row.cells.front().substr(1, row.cells.front().size() - 2));
    }
    EXPECT_EQ(named, spans);
    const std::set<std::string> attributes = source_matches(R"re((?:span\.|this->)set\("([a-z_.]+)")re");
    ASSERT_GE(attributes.size(), 7U);
    EXPECT_EQ(missing(attributes, all_matches(part, "`([a-z_.]+)`")), nothing);
}

} // namespace
} // namespace pomelohoist::docs
