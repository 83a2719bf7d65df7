#include "replay/expert_trace.h"
#include "replay/policy_run.h"
#include "replay/trace_generator.h"

#include <gtest/gtest.h>

#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace pomelohoist;

namespace {

const std::string header = R"({"kind":"expert_load","ranks":2,"experts":2,"layers":2,"slots_per_rank":1})"
                           "\n";

class replay_files : public testing::Test {
  protected:
    void SetUp() override {
        this->folder =
            std::filesystem::temp_directory_path() / ("pomelohoist_replay_" + std::to_string(::getpid()) + "_" +
                                                      testing::UnitTest::GetInstance()->current_test_info()->name());
        std::filesystem::create_directories(this->folder);
    }
    void TearDown() override { std::filesystem::remove_all(this->folder); }

    std::string write(const std::string& name, const std::string& text) const {
        std::string file = (this->folder / name).string();
        std::ofstream{file} << text;
        return file;
    }
    int run(const std::string& arguments) const {
        const std::string command = std::string{POMELOHOIST_BIN_DIR} + "/pomelohoist-replay " + arguments + " >" +
                                    (this->folder / "out").string() + " 2>&1";
        const int status = std::system(command.c_str());
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    [[nodiscard]] std::string output() const {
        std::ifstream stream{this->folder / "out"};
        return {std::istreambuf_iterator<char>{stream}, {}};
    }
    /// @returns line number and reason of the error in the trace, or an empty text
    std::string fault_of(const std::string& text) const {
        const std::string file = this->write("trace.jsonl", text);
        trace_reader reader{file};
        while (true) {
            const auto step = reader.next();
            if (!step) {
                return step.last_error().reason.substr(file.size() + 1);
            }
            if (!*step) {
                return "";
            }
        }
    }

    std::filesystem::path folder;
};

} // namespace

// Guards against valid traces that are refused or misread: gaps between steps, a missing layer, idle steps,
// and rank speeds that apply until the next change.
TEST_F(replay_files, reads_every_valid_form) {
    const std::string file = this->write("trace.jsonl", header +
                                                            R"({"step":3,"layer":1,"tokens":[1,2.5]}
{"step":3,"rank_speed":[1.0,0.5]}
{"step":9,"layer":0,"tokens":[0,0]}
{"step":20,"rank_speed":[1,2]}
{"step":20,"layer":1,"tokens":[4,0]}
{"step":20,"layer":0,"tokens":[7,8]}
)");
    trace_reader reader{file};
    EXPECT_EQ(**reader.next(), (trace_step{3, {0, 0, 1, 2.5}, {1, 0.5}}));
    EXPECT_EQ(**reader.next(), (trace_step{9, {0, 0, 0, 0}, {1, 0.5}}));
    EXPECT_EQ(**reader.next(), (trace_step{20, {7, 8, 4, 0}, {1, 2}}));
    EXPECT_FALSE(reader.next()->has_value());
}

// Guards against invalid traces that are replayed.
TEST_F(replay_files, names_line_and_reason_of_a_bad_trace) {
    const std::string good = R"({"step":5,"layer":0,"tokens":[1,2]})"
                             "\n";
    EXPECT_EQ(this->fault_of("").substr(0, 2), "1:");
    EXPECT_EQ(this->fault_of(R"({"kind":"requests"})"), "1: kind is not \"expert_load\"");
    EXPECT_EQ(this->fault_of(R"({"kind":"expert_load","ranks":1,"experts":3,"layers":1,"slots_per_rank":2})"),
              "1: ranks * slots_per_rank is less than experts");
    EXPECT_EQ(this->fault_of(header + "{"), "2: not a JSON object");
    EXPECT_EQ(this->fault_of(header + good + R"({"step":5})"), "3: neither tokens nor rank_speed");
    EXPECT_EQ(this->fault_of(header + good + R"({"step":4,"layer":0,"tokens":[1,2]})"), "3: step 4 after step 5");
    EXPECT_EQ(this->fault_of(header + good + good), "3: layer 0 twice in step 5");
    EXPECT_EQ(this->fault_of(header + R"({"step":5,"layer":2,"tokens":[1,2]})"),
              "2: layer is not a whole number below 2");
    EXPECT_EQ(this->fault_of(header + R"({"step":5,"layer":1,"tokens":[1]})"),
              "2: tokens is not an array of 2 numbers");
    EXPECT_EQ(this->fault_of(header + R"({"step":5,"layer":1,"tokens":[1,-1]})"),
              "2: tokens[1] is not a number from 0 to 1e15");
    EXPECT_EQ(this->fault_of(header + R"({"step":5,"layer":1,"tokens":[1e300,1]})"),
              "2: tokens[0] is not a number from 0 to 1e15");
    EXPECT_EQ(this->fault_of(header + R"({"step":5,"rank_speed":[1,0]})"), "2: rank_speed holds a speed below 1e-6");
}

// Guards against a skew or step time that differs from its definition.
TEST(policy_run, measures_skew_and_step_time) {
    const expert_shape shape{2, 2, 1, 1};
    policy_run run{"never_move", make_policy("never_move", shape, {}), shape, {}};
    ASSERT_TRUE(run.run_step({0, {10, 30}, {1.0, 0.5}}).has_value());
    EXPECT_DOUBLE_EQ(run.outcomes().back().step_time, 60.0);
    EXPECT_DOUBLE_EQ(run.outcomes().back().skew, 50.0 / 35.0);
    EXPECT_DOUBLE_EQ(quantile({4, 1, 3, 2}, 0.5), 2.0);
    EXPECT_DOUBLE_EQ(quantile({4, 1, 3, 2}, 0.95), 4.0);
}

// Guards against wrong exit statuses and against a report that is not written.
TEST_F(replay_files, program_reports_and_checks_expectations) {
    const std::string settings_file = std::string{POMELOHOIST_SOURCE_DIR} + "/examples/kartonfeest/balance.ini";
    const std::string trace = (this->folder / "trace.jsonl").string();
    const std::string report = (this->folder / "report").string();
    ASSERT_EQ(this->run("--generate sudden_flip --seed 4 --steps 100 --output " + trace), 0);
    const std::string command = "--trace " + trace + " --settings " + settings_file + " --policy adaptive";
    EXPECT_EQ(this->run(command + " --report " + report), 0);
    EXPECT_EQ(this->output().find("never_move"), std::string::npos);
    for (const char* name : {"summary.csv", "steps.csv", "skew.svg"}) {
        EXPECT_GT(std::filesystem::file_size(std::filesystem::path{report} / name), 50U) << name;
    }
    const std::string met = this->write("met.ini", "[expect]\nplan_stall_steps_max = 0\n");
    EXPECT_EQ(this->run(command + " --expect " + met), 0);
    const std::string unmet = this->write("unmet.ini", "[expect]\nmoves_vs_greedy_replan_max = 0\n");
    EXPECT_EQ(this->run(command + " --expect " + unmet), 1);
    EXPECT_NE(this->output().find("unmet: expect.moves_vs_greedy_replan_max"), std::string::npos);
    const std::string bad = this->write("bad.jsonl", header + "x\n");
    EXPECT_EQ(this->run("--trace " + bad + " --settings " + settings_file), 2);
    EXPECT_NE(this->output().find(bad + ":2: not a JSON object"), std::string::npos);
    EXPECT_EQ(this->run("--trace " + trace + " --settings " + unmet), 2);
    EXPECT_EQ(this->run(command + " --policy best"), 2);
}
