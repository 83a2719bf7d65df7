#include "support/child_process.h"
#include "support/program_logs.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

/// Tests of the logs that a failed test prints.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;
using test_support::child_process;

constexpr const char* failing_run = "POMELOHOIST_FAILING_RUN";

} // namespace

// Guards against a failed test of processes that leaves nothing to find its cause with. The test runs itself once more
// and fails there on purpose.
TEST(program_logs_test, a_failed_test_prints_the_logs_of_its_programs) {
    const std::string folder = testing::TempDir();
    if (std::getenv(failing_run) != nullptr) {
        child_process program{"/bin/sh", {"-c", "echo the-program-says-why >&2"}, folder + "/program_logs_test.log"};
        program.wait(5s);
        FAIL() << "on purpose";
    }
    std::filesystem::remove(folder + "/program_logs_test.log");
    ::setenv(failing_run, "1", 1);
    const auto outcome = test_support::run_program(
        "/proc/self/exe", {"--gtest_filter=program_logs_test.a_failed_test_prints_the_logs_of_its_programs"},
        folder + "/program_logs_test.err", 20s);
    ::unsetenv(failing_run);
    ASSERT_TRUE(outcome);
    EXPECT_NE(outcome->exit_status, 0);
    EXPECT_NE(outcome->output.find("the-program-says-why"), std::string::npos) << outcome->output;
}

// Guards against output that hides the failure itself.
TEST(program_logs_test, only_the_end_of_a_log_is_quoted) {
    const std::string file = testing::TempDir() + "/program_logs_test.long";
    {
        std::ofstream log{file};
        for (int line = 1; line <= 100; ++line) {
            log << "line " << line << "\n";
        }
    }
    EXPECT_EQ(test_support::quote_log_end(file, 2), "end of the log " + file + ":\n    line 99\n    line 100\n");
    std::filesystem::remove(file);
    EXPECT_EQ(test_support::quote_log_end(file, 2), "end of the log " + file + ":\n");
}

} // namespace pomelohoist
