#include "running_entry.h"
#include "support/row_store.h"

#include <gtest/gtest.h>

#include <atomic>

/// Endpoint processes whose supervisor holds the port: a crash closes the connections, but new ones are accepted.
namespace pomelohoist::platform {
namespace {

using test_support::child_process;
using test_support::row_store;

constexpr const char* declaration =
    R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/p/","kind":"streaming","can_resume":true,)"
    R"("timeout_ms":3000,"goal_ms":100,"priority":1,"attempts":2,"service":"s"}],)"
    R"("services":[{"name":"s","max_conns":50}],"tenants":[{"name":"t","api_keys":["k"],"priority":0}],)"
    R"("limits":{"body_bytes":1000}})";

// Required bounds.
constexpr std::size_t known_crashes = 5;
constexpr std::size_t max_more_sends = 3;
constexpr std::chrono::milliseconds notice_time{3000};

/// Removes a file that an earlier test of this process has left.
std::string new_file(const std::filesystem::path& path) {
    std::filesystem::remove(path);
    return path;
}

/// One endpoint with its supervisor, registered in the store at each start.
class supervised_endpoint {
  public:
    supervised_endpoint(std::string instance_name, const std::filesystem::path& folder, row_store& store)
        : instance(std::move(instance_name)), starts_file(new_file(folder / (this->instance + "-starts"))),
          platform(store),
          process(POMELOHOIST_BIN_DIR "/standin-supervised", {"--starts", this->starts_file}, folder / "stderr"),
          address(this->process.wait_ready(5s).value_or("")) {}

    /// Registers the latest start, as the endpoint does in its heartbeat.
    void beat() {
        std::ifstream file{this->starts_file};
        std::size_t count = 0;
        std::string latest;
        for (std::string line; std::getline(file, line); ++count) {
            latest = line;
        }
        if (count > this->starts) {
            this->platform.put("servers", this->instance,
                               R"({"service":"s","address":")" + this->address +
                                   R"(","zone":"z","version":"v","slots":4,"state":"ready","seq":1,"born":)" + latest +
                                   "}");
            this->starts = count;
        }
    }
    [[nodiscard]] std::size_t crashes() const { return this->starts == 0 ? 0 : this->starts - 1; }

  private:
    const std::string instance;
    const std::string starts_file;
    row_store& platform;
    child_process process;
    const std::string address;
    std::atomic<std::size_t> starts{0};
};

class supervised_endpoint_test : public testing::TestWithParam<const char*> {
  protected:
    void SetUp() override {
        constexpr std::size_t endpoint_count = 12;
        this->platform.put("op", "config", declaration);
        for (std::size_t i = 0; i < endpoint_count; ++i) {
            this->endpoints.push_back(
                std::make_unique<supervised_endpoint>("i-" + std::to_string(i), this->entry.folder, this->platform));
        }
        this->beats = std::thread{[this] {
            while (!this->stopping) {
                for (const auto& endpoint : this->endpoints) {
                    endpoint->beat();
                }
                std::this_thread::sleep_for(100ms);
            }
        }};
    }
    void TearDown() override {
        this->stopping = true;
        this->beats.join();
    }

    int call(const std::string& segment) {
        const std::string own = std::to_string(++this->calls);
        return this->entry
            .call("/p/" + own, "k",
                  {{"X-Pomelohoist-Prefix-Hash", segment + ":9,own" + own + ":9"},
                   {"X-Pomelohoist-Attempt-Id", "attempt-" + own}})
            .status;
    }
    [[nodiscard]] std::size_t crashes() const {
        std::size_t sum = 0;
        for (const auto& endpoint : this->endpoints) {
            sum += endpoint->crashes();
        }
        return sum;
    }

    row_store platform;
    running_entry entry{"e1", this->platform.address()};
    std::vector<std::unique_ptr<supervised_endpoint>> endpoints;
    std::atomic<bool> stopping{false};
    std::thread beats;
    std::size_t calls{0};
};

} // namespace

// Guards against crashes that go unnoticed because the port of the endpoint still accepts connections.
TEST_P(supervised_endpoint_test, a_segment_that_crashes_endpoints_stops_reaching_them) {
    ASSERT_TRUE(wait_until([this] { return this->entry.is_ready() && this->call("harmless") == 200; }, 10s));
    ASSERT_TRUE(wait_until(
        [this] {
            this->call(GetParam());
            return this->crashes() >= known_crashes;
        },
        10s));
    std::this_thread::sleep_for(notice_time);
    const std::size_t before = this->crashes();
    for (int i = 0; i < 12; ++i) {
        this->call(GetParam());
        std::this_thread::sleep_for(100ms);
    }
    std::this_thread::sleep_for(300ms); // the last start has been registered
    EXPECT_LE(this->crashes() - before, max_more_sends);
    EXPECT_EQ(this->call("harmless"), 200);
}

INSTANTIATE_TEST_SUITE_P(marks, supervised_endpoint_test, testing::Values("bad", "bad-unframed"));

} // namespace pomelohoist::platform
