#include "common/daemon.h"

#include "temporary_file.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>
#include <thread>
#include <unistd.h>

namespace pomelohoist {
namespace {

struct observed_calls {
    bool fail_start{false};
    bool started{false};
    bool stopped{false};
};

class example_daemon : public daemon {
  public:
    explicit example_daemon(observed_calls& target) : observed(target) {}
    result<std::string> start() override {
        if (this->observed.fail_start) {
            return failure{error_kind::internal, "address in use"};
        }
        this->observed.started = true;
        // The signal is blocked, so it stays pending until sigwait returns it.
        kill(getpid(), SIGTERM);
        return std::string{"inner=127.0.0.1:1 http=127.0.0.1:2"};
    }
    void stop() override { this->observed.stopped = true; }

  private:
    observed_calls& observed;
};

class example_factory : public daemon_factory {
  public:
    [[nodiscard]] settings_schema schema() const override { return {}; }
    std::unique_ptr<daemon> create(const settings& /*checked*/, const daemon_context& /*context*/) override {
        return std::make_unique<example_daemon>(this->observed);
    }
    observed_calls observed;
};

int run(example_factory& factory, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "example");
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    return run_daemon(static_cast<int>(arguments.size()), pointers.data(), "example", factory);
}

// Guards against a SIGTERM immediately after the start that kills the process instead of stopping it gracefully.
TEST(daemon_test, stops_gracefully_on_an_early_signal) {
    const temporary_file file{"[process]\nname=p\n"};
    example_factory factory;
    testing::internal::CaptureStdout();
    const int status = run(factory, {"--config", file.path()});
    EXPECT_EQ(testing::internal::GetCapturedStdout(), "ready inner=127.0.0.1:1 http=127.0.0.1:2\n");
    EXPECT_EQ(status, 0);
    EXPECT_TRUE(factory.observed.stopped);
}

TEST(daemon_test, exit_status_distinguishes_failed_start_from_bad_settings) {
    const temporary_file good{"[process]\nname=p\n"};
    const temporary_file bad{"[process]\nnome=p\n"};
    example_factory factory;
    factory.observed.fail_start = true;
    EXPECT_EQ(run(factory, {"--config", good.path()}), 1);
    EXPECT_EQ(run(factory, {"--config", bad.path()}), 2);
    EXPECT_EQ(run(factory, {"--config", bad.path(), "--check-config"}), 2);
    EXPECT_EQ(run(factory, {"--config", good.path(), "--check-config"}), 0);
    EXPECT_EQ(run(factory, {"--unknown"}), 2);
    EXPECT_EQ(run(factory, {}), 2);
    EXPECT_EQ(run(factory, {"--version"}), 0);
    testing::internal::CaptureStdout();
    EXPECT_EQ(run(factory, {"--help"}), 0);
    EXPECT_THAT(testing::internal::GetCapturedStdout(), testing::HasSubstr("process.name (required)"));
    EXPECT_FALSE(factory.observed.started);
}

} // namespace
} // namespace pomelohoist
