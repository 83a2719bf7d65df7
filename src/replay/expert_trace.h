#pragma once

#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Recorded expert load, one JSON object per line.
namespace pomelohoist {

/// One step of a trace.
struct trace_step {
    std::uint64_t step{0};
    std::vector<double> tokens; ///< in the order layer, expert; zero where the trace has no line for a layer
    std::vector<double> speeds; ///< true speed of each rank, 1.0 is nominal

    friend bool operator==(const trace_step&, const trace_step&) = default;
};

/// Steps in ascending order.
class step_source {
  public:
    virtual ~step_source() = default;
    [[nodiscard]] virtual const expert_shape& shape() const = 0;
    /// @returns the next step, nothing at the end, or `bad_request` with file, line and reason
    virtual result<std::optional<trace_step>> next() = 0;
};

/// Reads a trace line by line and keeps no more than two steps in memory.
class trace_reader : public step_source {
  public:
    /// Reads the first line. A fault of it is returned by the first `next`.
    explicit trace_reader(const std::string& file);

    [[nodiscard]] const expert_shape& shape() const override { return this->size; }
    /// @returns the fault of the first line, if any
    [[nodiscard]] const std::optional<failure>& header_fault() const { return this->fault; }
    result<std::optional<trace_step>> next() override;

  private:
    struct layer_line {
        std::uint64_t step{0};
        std::uint32_t layer{0};
        std::vector<double> tokens;
    };

    /// @returns false at the end of the file or after a fault
    bool read_line(std::string& line);
    bool read_layer_line();
    void add_layer(trace_step& step, std::vector<bool>& seen);
    void use_speeds(std::uint64_t step);
    void fail(const std::string& reason);
    void parse_header(const std::string& line);
    /// @returns true when the line held tokens, which are then in `ahead`
    bool parse_record(const std::string& line);

    std::string name;
    std::ifstream stream;
    std::uint64_t line_number{0};
    expert_shape size;
    std::optional<failure> fault;
    std::optional<layer_line> ahead;
    std::uint64_t last_step{0};
    std::map<std::uint64_t, std::vector<double>> planned_speeds; ///< by the first step that they hold for
    std::vector<double> speeds;
};

/// Writes all steps of a source as a trace file.
/// @returns done, or the reason why the file could not be written
result<done> write_trace(step_source& steps, const std::string& file);

} // namespace pomelohoist
