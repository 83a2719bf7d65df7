#include "operator/operator_commands.h"

#include "common/temporary_file.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>

namespace pomelohoist {
namespace {

using testing::HasSubstr;

const std::string declarations = "[workspace.w1]\nkey_sha256 = " + std::string(64, 'a') +
                                 "\n[application.a1]\n[endpoint.e1]\nkind = service\nagent = 127.0.0.1:1\n"
                                 "serves = desk\nlabel.pool = desk\n[endpoint.e2]\nkind = service\n"
                                 "agent = 127.0.0.1:2\nserves = desk\n[selector.s1]\nworkspaces = *\n"
                                 "applications = *\nendpoints = pool=desk\n";

/// Holds the configuration in memory and commits with the conflict checks of the table service.
class fake_store : public declaration_store {
  public:
    result<configuration> read_newest() override {
        if (this->is_down) {
            return failure{error_kind::store_unavailable, "connection refused"};
        }
        const configuration read = this->current;
        if (this->after_read) {
            this->after_read();
        }
        return read;
    }
    result<configuration> commit(const configuration_change& change) override {
        this->change_ids.push_back(change.id);
        if (this->lost_responses > 0) {
            --this->lost_responses;
            return failure{error_kind::store_unavailable, "timeout"};
        }
        result<configuration> next = this->current.apply({this->current.version() + 1, change});
        if (next) {
            this->current = *next;
        }
        return next;
    }
    result<std::vector<registered_entry>> read_entries() override {
        return parse_entry_rows({{"member/entry/n1", R"({"inner":"127.0.0.1:3","data_centre":"c1"})", 1}});
    }

    configuration current;
    bool is_down{false};
    int lost_responses{0};
    std::vector<std::string> change_ids;
    std::function<void()> after_read; ///< simulates another operator's command between read and commit
};

/// Responds with the version of each listed port; other ports time out.
class fake_client : public status_client {
  public:
    std::vector<result<inner::status_response>> query(const std::vector<net_address>& targets,
                                                      std::chrono::milliseconds /*timeout*/) override {
        std::vector<result<inner::status_response>> responses;
        responses.reserve(targets.size());
        for (const net_address& target : targets) {
            responses.push_back(this->respond(target.port));
        }
        return responses;
    }
    std::map<std::uint16_t, std::uint64_t> versions;

  private:
    // The version increases by one with each query.
    result<inner::status_response> respond(std::uint16_t port) {
        const auto found = this->versions.find(port);
        if (found == this->versions.end()) {
            return failure{error_kind::timeout, "no reply"};
        }
        inner::status_response response;
        response.healthy = true;
        response.configuration_version = found->second++;
        return response;
    }
};

class operator_commands_test : public testing::Test {
  protected:
    command_report run(const std::vector<std::string>& arguments) {
        const parsed_command parsed = parse_operator_arguments(arguments, "127.0.0.1:9");
        EXPECT_TRUE(parsed.command) << parsed.text;
        operator_command command = parsed.command.value_or(operator_command{});
        command.timeout = std::chrono::milliseconds{250};
        return operator_commands{this->store, this->client, this->random, this->time}.run(command);
    }

    system_clock time;
    seeded_random random{1};
    fake_store store;
    fake_client client;
    temporary_file file{declarations};
};

TEST_F(operator_commands_test, apply_makes_the_declared_objects_once) {
    const command_report preview = this->run({"apply", this->file.path(), "--dry-run"});
    EXPECT_EQ(preview.status, operator_status::ok);
    EXPECT_THAT(preview.summary, HasSubstr("nothing was changed"));
    EXPECT_EQ(this->store.current.version(), 0U);
    const command_report first = this->run({"apply", this->file.path()});
    EXPECT_EQ(first.status, operator_status::ok);
    EXPECT_EQ(first.version, 1U);
    EXPECT_EQ(this->store.current.objects().size(), 5U);
    const command_report second = this->run({"apply", this->file.path()});
    EXPECT_EQ(second.summary, "no changes to version 1");
    EXPECT_EQ(this->store.current.version(), 1U);
}

// Guards against removing objects only because a file does not declare them.
TEST_F(operator_commands_test, only_prune_removes_absent_objects) {
    this->run({"apply", this->file.path()});
    const temporary_file partial_file{"[application.a1]\npriority = low\n"};
    EXPECT_EQ(this->run({"apply", partial_file.path()}).status, operator_status::ok);
    EXPECT_EQ(this->store.current.objects().size(), 5U);
    const command_report preview = this->run({"diff", partial_file.path(), "--prune"});
    EXPECT_THAT(render_report(preview, output_format::table), HasSubstr("delete  workspace"));
    EXPECT_EQ(this->run({"apply", partial_file.path(), "--prune"}).status, operator_status::ok);
    EXPECT_EQ(this->store.current.objects().size(), 1U);
}

TEST_F(operator_commands_test, label_drains_and_explain_states_the_reason) {
    this->run({"apply", this->file.path()});
    EXPECT_TRUE(this->store.current.may_reach("w1", "a1", "e1"));
    EXPECT_EQ(this->run({"label", "endpoint", "e1", "pool-", "state=drained"}).status, operator_status::ok);
    EXPECT_FALSE(this->store.current.may_reach("w1", "a1", "e1"));
    const std::string text = render_report(this->run({"explain", "w1", "a1"}), output_format::json);
    EXPECT_THAT(text, HasSubstr("selector s1: endpoint needs pool=desk, has no such label"));
    EXPECT_EQ(this->run({"explain", "w9", "a1"}).status, operator_status::failed);
    EXPECT_EQ(this->run({"label", "endpoint", "e9", "a=b"}).status, operator_status::failed);
    EXPECT_EQ(this->run({"label", "endpoint", "e1", "a b=c"}).status, operator_status::usage);
    const command_report listed = this->run({"get", "endpoint", "e1"});
    EXPECT_THAT(render_report(listed, output_format::table), HasSubstr("label.state=drained serves=desk"));
}

// Guards against a label command that overwrites a concurrent change or re-creates a removed object.
TEST_F(operator_commands_test, concurrent_changes_of_the_same_object) {
    this->run({"apply", this->file.path()});
    const object_key e1{object_kind::endpoint, "e1"};
    this->store.after_read = [this, e1] {
        this->store.current = *this->store.current.apply(
            {this->store.current.version() + 1, {"x", {{e1, "label.pool", "desk", "other"}}}});
        this->store.after_read = nullptr;
    };
    const command_report report = this->run({"label", "endpoint", "e1", "pool=mine"});
    EXPECT_EQ(report.status, operator_status::conflict);
    EXPECT_THAT(report.error->reason, HasSubstr("endpoint e1 label.pool: expected \"desk\", is \"other\""));
    this->store.after_read = [this] {
        this->store.current = *this->store.current.apply(
            {this->store.current.version() + 1, {"y", {{{object_kind::application, "a1"}, "", "", std::nullopt}}}});
        this->store.after_read = nullptr;
    };
    EXPECT_EQ(this->run({"label", "application", "a1", "new=1"}).status, operator_status::conflict);
    EXPECT_EQ(this->store.current.find_application("a1"), nullptr);
}

// Guards against applying a change twice because the response of the first commit was lost.
TEST_F(operator_commands_test, commits_without_response_are_retried_with_the_same_change_id) {
    this->store.lost_responses = 2;
    EXPECT_EQ(this->run({"apply", this->file.path()}).status, operator_status::ok);
    ASSERT_EQ(this->store.change_ids.size(), 3U);
    EXPECT_EQ(this->store.change_ids[0], this->store.change_ids[2]);
    this->store.is_down = true;
    EXPECT_EQ(this->run({"status"}).status, operator_status::store_unavailable);
}

TEST_F(operator_commands_test, bad_declarations_change_nothing) {
    const temporary_file bad{"[application.a2]\nidempotent = perhaps\n"};
    EXPECT_EQ(this->run({"apply", this->file.path(), bad.path()}).status, operator_status::usage);
    EXPECT_EQ(this->store.current.version(), 0U);
}

// Guards against a `--wait` that ends before every agent and entry has confirmed the version.
TEST_F(operator_commands_test, wait_lists_unconfirmed_processes) {
    this->client.versions = {{1, 1}, {2, 0}, {3, 1}};
    const command_report delayed = this->run({"apply", this->file.path(), "--wait"});
    EXPECT_EQ(delayed.status, operator_status::ok) << delayed.summary;
    this->client.versions = {{1, 1}, {3, 1}};
    const command_report report = this->run({"status"});
    EXPECT_EQ(report.status, operator_status::failed);
    EXPECT_THAT(report.summary, HasSubstr("2 of 3 processes have confirmed version 1"));
    const command_report incomplete = this->run({"apply", this->file.path(), "--wait"});
    ASSERT_EQ(incomplete.tables.back().rows.size(), 1U);
    EXPECT_EQ(incomplete.tables.back().rows.front().front(), "e2");
}

TEST(operator_arguments_test, usage_errors_have_status_2) {
    const std::vector<std::vector<std::string>> invalid_arguments{{},
                                                                  {"drop"},
                                                                  {"apply"},
                                                                  {"label", "endpoint", "e1"},
                                                                  {"status", "x"},
                                                                  {"get", "--wait"},
                                                                  {"--output", "xml", "get"},
                                                                  {"--nonsense"},
                                                                  {"--timeout", "0", "status"},
                                                                  {"--platform", "here", "get"}};
    for (const std::vector<std::string>& arguments : invalid_arguments) {
        const parsed_command parsed = parse_operator_arguments(arguments, "127.0.0.1:9");
        EXPECT_FALSE(parsed.command);
        EXPECT_EQ(parsed.status, operator_status::usage);
        EXPECT_TRUE(parsed.text.starts_with("pomelohoist: ")) << parsed.text;
    }
    EXPECT_EQ(parse_operator_arguments({"get"}, "").status, operator_status::usage);
    // A missing platform address must not hide a misspelt command.
    EXPECT_THAT(parse_operator_arguments({"drop"}, "").text, HasSubstr("unknown command"));
    EXPECT_THAT(parse_operator_arguments({"--help"}, "").text, HasSubstr("Exit status:"));
    EXPECT_EQ(parse_operator_arguments({"get", "--platform", "127.0.0.1:5"}, "").command->platform.port, 5);
}

class status_server : public inner::datagram_handler {
  public:
    inner::payload handle_datagram(const inner::packet& /*request*/) override {
        inner::status_response response;
        response.configuration_version = 7;
        return inner::to_payload(response);
    }
};

TEST(status_client_test, queries_over_datagrams_in_the_order_of_the_targets) {
    const system_clock time;
    status_server handler;
    inner::datagram_endpoint server{{"127.0.0.1", 0}, "agent", time};
    inner::datagram_endpoint local_endpoint{{"127.0.0.1", 0}, "operator", time};
    server.start(&handler);
    local_endpoint.start(nullptr);
    datagram_status_client client{local_endpoint};
    std::vector<net_address> targets(300, server.local_address());
    targets[1] = local_endpoint.local_address(); // has no handler and refuses calls
    const auto responses = client.query(targets, std::chrono::milliseconds{3000});
    ASSERT_EQ(responses.size(), targets.size());
    EXPECT_FALSE(responses[1]);
    ASSERT_TRUE(responses[299]);
    EXPECT_EQ(responses[299]->configuration_version, 7U);
}

TEST(entry_rows_test, malformed_rows_are_kept_without_an_address) {
    const auto entries = parse_entry_rows({{"member/entry/a", "{", 1}, {"member/entry/b", R"({"inner":5})", 2}});
    ASSERT_EQ(entries.size(), 2U);
    EXPECT_EQ(entries[0].name, "a");
    EXPECT_EQ(entries[1].inner.port, 0);
}

} // namespace
} // namespace pomelohoist
