#include "support/program_logs.h"

#include <gtest/gtest.h>

#include <iostream>
#include <vector>

/// Part of every test binary: a test that fails prints the logs of the programs that it has started.
namespace pomelohoist::test_support {
namespace {

constexpr std::size_t max_lines = 60; // of each program

class failure_log_printer : public testing::EmptyTestEventListener {
    void OnTestStart(const testing::TestInfo& /*started*/) override {
        forget_program_logs();
        this->has_printed = false;
    }

    // At the first failure: the files of a test may be gone at its end.
    void OnTestPartResult(const testing::TestPartResult& outcome) override {
        if (!outcome.failed() || this->has_printed) {
            return;
        }
        this->has_printed = true;
        for (const std::string& file : program_logs()) {
            std::cout << quote_log_end(file, max_lines);
        }
        std::cout << std::flush;
    }

    bool has_printed{false};
};

const bool is_installed = [] {
    testing::UnitTest::GetInstance()->listeners().Append(new failure_log_printer); // GoogleTest deletes it
    return true;
}();

} // namespace
} // namespace pomelohoist::test_support
