#include "declaration/declaration_file.h"

#include "common/temporary_file.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace pomelohoist {
namespace {

using testing::HasSubstr;

const std::string digest(64, 'a');

TEST(declaration_file_test, reads_objects_of_several_files) {
    const temporary_file first{"[workspace.w1]\nkey_sha256 = " + digest + "\nlabel.size = large\n[application.a1]\n"};
    const temporary_file second{"[selector.s1]\nworkspaces = size=large,state!=moved\napplications = *\n"
                                "endpoints = *\n"};
    const result<object_map> read = read_declarations({first.path(), second.path()});
    ASSERT_TRUE(read) << read.last_error().reason;
    EXPECT_EQ(read->size(), 3U);
    EXPECT_EQ(read->at({object_kind::workspace, "w1"}).values.at("label.size"), "large");
    EXPECT_EQ(read->at({object_kind::selector, "s1"}).values.at("workspaces"), "size=large,state!=moved");
}

// Guards against reporting only the first error of a run, and against ignoring a misspelt key or section.
TEST(declaration_file_test, reports_all_errors_of_all_files) {
    const temporary_file first{"[workspace.w1]\nkey_sha256 = ABC\nweight = 0\nweight = 1\n[server.x]\nkind = model\n"
                               "[workspace.w2]\nkey_sha256 = " +
                               digest + "\n[workspace.w3]\nkey_sha256 = " + digest + "\n"};
    const temporary_file second{"[workspace.w1]\nlabel.a b = c\n[application.a]\nprioritty = low\nidempotent = yes\n"
                                "[endpoint.e1]\nkind = model\nagent = 127.0.0.1:99999\nrank = 1\n"
                                "[selector.s]\nworkspaces = a\napplications = *\n[selector.s]\n"};
    const result<object_map> read = read_declarations({first.path(), second.path()});
    ASSERT_FALSE(read);
    EXPECT_EQ(read.last_error().kind, error_kind::invalid_declaration);
    const std::string& text = read.last_error().reason;
    const std::string first_prefix = first.path() + ": ";
    const std::string second_prefix = second.path() + ": ";
    EXPECT_THAT(text, HasSubstr(first_prefix + "[workspace.w1] key_sha256: bad value \"ABC\"; allowed are 64"));
    EXPECT_THAT(text, HasSubstr(first_prefix + "[workspace.w1] weight: bad value \"0\"; allowed is a number above 0"));
    EXPECT_THAT(text, HasSubstr(first_prefix + "[workspace.w1] weight: duplicate key name (line 4)"));
    EXPECT_THAT(text, HasSubstr(first_prefix + "[server.x] unknown section; allowed are workspace.NAME"));
    EXPECT_THAT(text, HasSubstr(first_prefix + "[workspace.w3] key_sha256: is the same as in [workspace.w2]"));
    EXPECT_THAT(text, HasSubstr(second_prefix + "[workspace.w1] is also declared in " + first.path()));
    EXPECT_THAT(text, HasSubstr(second_prefix + "[workspace.w1] label.a b: bad label"));
    EXPECT_THAT(text,
                HasSubstr(second_prefix + "[application.a] prioritty: unknown key; allowed are priority, idempotent"));
    EXPECT_THAT(text,
                HasSubstr(second_prefix + "[application.a] idempotent: bad value \"yes\"; allowed are true, false"));
    EXPECT_THAT(text, HasSubstr(second_prefix + "[endpoint.e1] agent: bad value"));
    EXPECT_THAT(text, HasSubstr(second_prefix + "[endpoint.e1] serves: is missing"));
    EXPECT_THAT(text, HasSubstr(second_prefix + "[endpoint.e1] rank: stands without a group"));
    EXPECT_THAT(text, HasSubstr(second_prefix + "[selector.s] workspaces: bad value \"a\"; allowed are conditions"));
    EXPECT_THAT(text, HasSubstr(second_prefix + "[selector.s] endpoints: is missing"));
    EXPECT_THAT(text, HasSubstr(second_prefix + "[selector.s] duplicate section name"));
}

} // namespace
} // namespace pomelohoist
