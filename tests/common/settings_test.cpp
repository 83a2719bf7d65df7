#include "common/settings.h"

#include "temporary_file.h"

#include "common/ini_file.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace pomelohoist {
namespace {

using testing::HasSubstr;
using testing::Not;

settings_schema example_schema() {
    return {{"process.name", setting_type::text, true, "", "name", {}},
            {"serve.inner", setting_type::address, true, "", "address", {}},
            {"serve.peers", setting_type::address_list, false, "", "peers", {}},
            {"serve.grace", setting_type::duration_ms, false, "1500", "grace", {}},
            {"log.format", setting_type::choice, false, "text", "format", {"text", "json"}}};
}

// Guards against values that are read from the wrong key, and against missing defaults.
TEST(settings_test, reads_values_and_defaults) {
    const temporary_file file{"; comment\n[process]\nname = a b\n[serve]\ninner=127.0.0.1:80\n"
                              "peers = 127.0.0.1:1, 127.0.0.1:2\n"};
    const result<settings> loaded = settings::load(file.path(), example_schema());
    ASSERT_TRUE(loaded) << loaded.last_error().reason;
    EXPECT_EQ(loaded->text("process.name"), "a b");
    EXPECT_EQ(loaded->address("serve.inner"), (net_address{"127.0.0.1", 80}));
    EXPECT_EQ(loaded->address_list("serve.peers").size(), 2U);
    EXPECT_EQ(loaded->duration("serve.grace"), std::chrono::milliseconds{1500});
    EXPECT_EQ(loaded->text("log.format"), "text");
}

// Guards against reporting only the first error, so that an operator would need one start for each error.
TEST(settings_test, reports_all_errors_at_once) {
    const temporary_file file{"stray\n[process]\nNAME = x\n[serve]\ninner = nowhere\ninner = 127.0.0.1:1\n"
                              "grace = -1\n[log]\nformat = xml\nnot a pair\n[other]\nkey = 1\n[log]\nformat = text\n"};
    const result<settings> loaded = settings::load(file.path(), example_schema());
    ASSERT_FALSE(loaded);
    EXPECT_EQ(loaded.last_error().kind, error_kind::invalid_settings);
    const std::string& text = loaded.last_error().reason;
    EXPECT_THAT(text, HasSubstr("stray: text before the first section (line 1)"));
    EXPECT_THAT(text, HasSubstr("[process] NAME: unknown key; allowed are name"));
    EXPECT_THAT(text, HasSubstr("[process] name: is missing"));
    EXPECT_THAT(text, HasSubstr("[serve] inner: bad value \"nowhere\"; allowed is IP:PORT"));
    EXPECT_THAT(text, HasSubstr("[serve] inner: duplicate key name (line 6)"));
    EXPECT_THAT(text, HasSubstr("[serve] grace: bad value \"-1\"; allowed is a whole number of milliseconds"));
    EXPECT_THAT(text, HasSubstr("[log] format: bad value \"xml\"; allowed are text, json"));
    EXPECT_THAT(text, HasSubstr("not a pair:"));
    EXPECT_THAT(text, HasSubstr("[other] key: unknown section; allowed are log, process, serve"));
    EXPECT_THAT(text, HasSubstr("[log] duplicate section name (line 13)"));
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 9) << text;
}

TEST(settings_test, refuses_numbers_below_the_lowest) {
    const temporary_file file{"[endpoint]\nslots = 0\ntoken_ms = -4\n"};
    const settings_schema schema{{"endpoint.slots", setting_type::integer, false, "8", "", {}, 1},
                                 {"endpoint.token_ms", setting_type::number, false, "20", "", {}, 0}};
    const result<settings> loaded = settings::load(file.path(), schema);
    ASSERT_FALSE(loaded);
    EXPECT_THAT(loaded.last_error().reason, HasSubstr("slots: bad value \"0\"; allowed is a whole number, at least 1"));
    EXPECT_THAT(loaded.last_error().reason, HasSubstr("token_ms: bad value \"-4\"; allowed is a number, at least 0"));
}

// Guards against a message that does not name the unreadable file.
TEST(settings_test, names_a_file_that_cannot_be_read) {
    const result<settings> loaded = settings::load(
        "/nonexistent/settings.ini", {{"process.name", setting_type::text, true, "", "name of the process", {}}});
    ASSERT_FALSE(loaded);
    EXPECT_THAT(loaded.last_error().reason, HasSubstr("/nonexistent/settings.ini: cannot be read"));
    // A list of missing keys would hide that the file cannot be read.
    EXPECT_THAT(loaded.last_error().reason, testing::Not(HasSubstr("is missing")));
}

// Guards against losing sections without keys, which the parser drops: an application may have no keys.
TEST(ini_file_test, keeps_empty_sections) {
    const ini_content content = parse_ini("f", "[a]\n[b]\nk=1\n[c]\n");
    EXPECT_TRUE(content.errors.empty());
    ASSERT_EQ(content.sections.size(), 3U);
    EXPECT_EQ(content.sections[0].name, "a");
    EXPECT_EQ(content.sections[1].entries, (std::vector<ini_entry>{{"k", "1"}}));
    EXPECT_TRUE(content.sections[2].entries.empty());
}

} // namespace
} // namespace pomelohoist
