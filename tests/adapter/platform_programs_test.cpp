#include "running_entry.h"
#include "support/row_store.h"
#include "support/scripted_endpoint.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

/// The programs for the users' platform as processes, with a store and endpoints that run in the test.
namespace pomelohoist::platform {
namespace {

using namespace std::chrono_literals;
using test_support::child_process;
using test_support::field_of;
using test_support::full_response_to;
using test_support::http_response;
using test_support::row_store;
using test_support::scripted_endpoint;
using test_support::scripted_response;
using test_support::store_behaviour;

constexpr const char* rank_program = POMELOHOIST_BIN_DIR "/pomelohoist-platform-rank";
constexpr const char* declaration =
    R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/p/","kind":"safe","timeout_ms":3000,)"
    R"("goal_ms":100,"priority":1,"attempts":2,"service":"s"}],"services":[{"name":"s","max_conns":5}],)"
    R"("tenants":[{"name":"t","api_keys":["k"],"priority":0}],"limits":{"body_bytes":1000}})";

class platform_programs_test : public testing::Test {
  protected:
    void declare(const std::string& content) { this->platform.put("op", "config", content); }
    void register_endpoint(const std::string& instance, const net_address& address) {
        this->platform.put("servers", instance,
                           R"({"service":"s","address":")" + address.to_string() +
                               R"(","zone":"z","version":"v","slots":4,"state":"ready","seq":1})");
    }

    row_store platform;
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) {
        return scripted_response{full_response_to(request, 200, field_of(request, "X-Pomelohoist-Tenant"))};
    }};
};

// Guards against an entry that denies requests (401, 404) or reports ready before it has read a declaration, and
// against an entry that does not serve requests after it has read a declaration.
TEST_F(platform_programs_test, an_entry_denies_nothing_before_it_has_a_declaration) {
    this->platform.set_behaviour(store_behaviour::busy);
    running_entry entry{"e1", this->platform.address()};
    ASSERT_TRUE(entry.process->wait_ready(5s));
    for (const char* key : {"k", "unknown"}) {
        const http_response unready = entry.call("/p/x", key);
        EXPECT_EQ(unready.status, 503);
        EXPECT_EQ(unready.headers.count("Retry-After"), 1U);
    }
    EXPECT_FALSE(entry.is_ready());
    this->declare(declaration);
    this->register_endpoint("i-1", this->endpoint.address());
    this->platform.set_behaviour(store_behaviour::serves);
    ASSERT_TRUE(wait_until([&entry] { return entry.is_ready(); }, 5s));
    const http_response served = entry.call();
    EXPECT_EQ(served.status, 200);
    EXPECT_EQ(served.body, "t");
    EXPECT_EQ(entry.call("/p/x", "unknown").status, 401);
    EXPECT_EQ(entry.call("/none/").status, 404);
}

// Guards against an entry that still accepts a removed API key because it does not read the store itself, and against
// entries that exit while requests still run or arrive.
TEST_F(platform_programs_test, entries_share_changes_and_stop_gracefully) {
    this->declare(declaration);
    this->register_endpoint("i-1", this->endpoint.address());
    running_entry first{"e1", this->platform.address()};
    running_entry second{"e2", this->platform.address()};
    for (running_entry* entry : {&first, &second}) {
        ASSERT_TRUE(wait_until([entry] { return entry->is_ready(); }, 5s));
        EXPECT_EQ(entry->call().status, 200);
    }
    std::string without_key{declaration};
    without_key.replace(without_key.find("\"version\":3"), 11, "\"version\":7");
    without_key.replace(without_key.find("[\"k\"]"), 5, "[\"n\"]");
    this->declare(without_key);
    std::this_thread::sleep_for(2s); // a change must be in force at all entries within this time
    for (const running_entry* entry : {&first, &second}) {
        EXPECT_EQ(entry->call().status, 401);
        EXPECT_EQ(entry->call("/p/x", "n").status, 200);
    }
    first.process->terminate();
    EXPECT_TRUE(wait_until([&first] { return !first.is_ready(); }, 1s));
    // The platform's balancer still sends requests to the stopping entry.
    EXPECT_EQ(first.call("/p/x", "n").status, 200);
    const auto ended = first.process->wait(8s);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->exit_status, 0);
    EXPECT_EQ(second.call("/p/x", "n").status, 200);
}

// Guards against requests that run without a valid key once the last workspace has been removed, at the entry that
// reads the declaration and at one that receives it.
TEST_F(platform_programs_test, no_request_runs_after_the_last_workspace_is_removed) {
    this->declare(declaration);
    this->register_endpoint("i-1", this->endpoint.address());
    running_entry first{"e1", this->platform.address()};
    running_entry second{"e2", this->platform.address()};
    for (running_entry* entry : {&first, &second}) {
        ASSERT_TRUE(wait_until([entry] { return entry->is_ready() && entry->call().status == 200; }, 5s));
    }
    std::string without_workspaces{declaration};
    without_workspaces.replace(without_workspaces.find("\"version\":3"), 11, "\"version\":7");
    const std::size_t list = without_workspaces.find("[{\"name\":\"t\"");
    without_workspaces.replace(list, without_workspaces.find("}]", list) + 2 - list, "[]");
    this->declare(without_workspaces);
    std::this_thread::sleep_for(2s); // a change must be in force at all entries within this time
    const std::size_t sent = this->endpoint.requests().size();
    for (const running_entry* entry : {&first, &second}) {
        for (const char* key : {"k", "unknown", ""}) {
            EXPECT_EQ(entry->call("/p/x", key).status, 401) << key;
        }
    }
    EXPECT_EQ(this->endpoint.requests().size(), sent);
}

// Guards against an entry that misses changes, or uses an endpoint that has left, after a restore of the store.
TEST_F(platform_programs_test, an_entry_follows_a_restored_store) {
    scripted_endpoint second{[](const std::string& request, std::size_t) {
        return scripted_response{full_response_to(request, 200, "second")};
    }};
    this->declare(declaration);
    this->register_endpoint("i-1", this->endpoint.address());
    const auto copy = this->platform.copy();
    running_entry entry{"e1", this->platform.address()};
    ASSERT_TRUE(wait_until([&entry] { return entry.is_ready() && entry.call().status == 200; }, 5s));
    for (int i = 0; i < 20; ++i) {
        this->platform.put("other", "key", "raises the version");
    }
    this->register_endpoint("i-2", second.address());
    this->platform.remove("servers", "i-1");
    ASSERT_TRUE(wait_until([&entry] { return entry.call().body == "second"; }, 2s));
    std::this_thread::sleep_for(1s);
    const std::size_t sends_before = this->endpoint.requests().size();
    this->platform.restore(*copy);
    this->register_endpoint("i-2", second.address());
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(entry.call().body, "second");
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_EQ(this->endpoint.requests().size(), sends_before);
    this->platform.put("op", "config", R"({"version":9,"routes":[],"services":[],"tenants":[],"limits":{}})");
    EXPECT_TRUE(wait_until([&entry] { return entry.call().status == 404; }, 2s));
}

// Guards against requests to an evacuated data centre, from the entry that reads the store and from one that only
// learns of the evacuation from that entry, and against an evacuation that outlasts its row.
TEST_F(platform_programs_test, nothing_is_sent_to_an_evacuated_data_centre) {
    this->declare(declaration);
    this->register_endpoint("i-1", this->endpoint.address());
    running_entry first{"e1", this->platform.address()};
    running_entry second{"e2", this->platform.address()};
    for (running_entry* entry : {&first, &second}) {
        ASSERT_TRUE(wait_until([entry] { return entry->is_ready() && entry->call().status == 200; }, 5s));
    }
    this->platform.put("op", "evacuate/z", "{}");
    std::this_thread::sleep_for(2s);
    const std::size_t sent = this->endpoint.requests().size();
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(first.call().status, 503);
        EXPECT_EQ(second.call().status, 503);
    }
    EXPECT_EQ(this->endpoint.requests().size(), sent) << "requests have reached the data centre";
    this->platform.remove("op", "evacuate/z");
    for (running_entry* entry : {&first, &second}) {
        EXPECT_TRUE(wait_until([entry] { return entry->call().status == 200; }, 2s));
    }
}

// Guards against a rank process that exits while its engine or the store is unreachable.
TEST_F(platform_programs_test, a_rank_process_keeps_running_without_engine_and_store) {
    this->platform.set_behaviour(store_behaviour::resets);
    const std::filesystem::path folder =
        std::filesystem::path{testing::TempDir()} / ("platform-rank-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const std::string settings = folder / "rank.ini";
    std::ofstream{settings} << "[process]\nname=r1\n[inner]\naddress=" << free_address().to_string()
                            << "\n[engine]\naddress=" << free_address().to_string()
                            << "\nservice=s\n[platform]\naddress=" << this->platform.address().to_string() << "\n";
    child_process process{rank_program, {"--config", settings}, folder / "stderr"};
    ASSERT_TRUE(process.wait_ready(5s));
    std::this_thread::sleep_for(1500ms);
    EXPECT_TRUE(process.is_running());
    process.terminate();
    const auto ended = process.wait(5s);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->exit_status, 0);
}

// Guards against a start with an incomplete settings file, and an error that does not name the missing key.
TEST_F(platform_programs_test, a_missing_setting_fails_the_start_and_is_named) {
    const std::filesystem::path settings =
        std::filesystem::path{testing::TempDir()} / ("platform-bad-" + std::to_string(getpid()) + ".ini");
    std::ofstream{settings} << "[process]\nname=r1\n[inner]\naddress=127.0.0.1:0\n";
    const std::string errors = settings.string() + ".stderr";
    const auto ended = test_support::run_program(rank_program, {"--config", settings}, errors, 5s);
    ASSERT_TRUE(ended);
    EXPECT_NE(ended->exit_status, 0);
    std::ifstream file{errors};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    EXPECT_THAT(text + ended->output, testing::HasSubstr("[engine] address: is missing"));
}

} // namespace
} // namespace pomelohoist::platform
