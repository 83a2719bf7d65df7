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
    std::vector<double> tokens; ///< by layer, then by expert; 0 in a layer without a line in the trace
    std::vector<double> speeds; ///< true speed of each rank, 1.0 is nominal

    friend bool operator==(const trace_step&, const trace_step&) = default;
};

/// Source of trace steps in ascending order.
class step_source {
  public:
    virtual ~step_source() = default;
    [[nodiscard]] virtual const expert_shape& shape() const = 0;
    /// @returns the next step, `std::nullopt` at the end, or `bad_request` with file, line and reason
    virtual result<std::optional<trace_step>> next() = 0;
};

/// Reads a trace line by line and keeps no more than two steps in memory.
class trace_reader : public step_source {
  public:
    /// Reads the first line. An error in it is returned by the first call of `next`.
    explicit trace_reader(const std::string& file);

    [[nodiscard]] const expert_shape& shape() const override { return this->group_shape; }
    /// @returns the error in the first line, if any
    [[nodiscard]] const std::optional<failure>& header_error() const { return this->error; }
    result<std::optional<trace_step>> next() override;

  private:
    struct layer_line {
        std::uint64_t step{0};
        std::uint32_t layer{0};
        std::vector<double> tokens;
    };

    /// @returns false at the end of the file or after an error
    bool read_line(std::string& line);
    bool read_layer_line();
    void add_layer(trace_step& step, std::vector<bool>& read_layers);
    void apply_speeds(std::uint64_t step);
    void fail(const std::string& reason);
    void parse_header(const std::string& line);
    /// @returns true when the line contains tokens, which are then stored in `lookahead`
    bool parse_record(const std::string& line);

    std::string file_name;
    std::ifstream stream;
    std::uint64_t line_number{0};
    expert_shape group_shape;
    std::optional<failure> error;
    std::optional<layer_line> lookahead;
    std::uint64_t last_step{0};
    std::map<std::uint64_t, std::vector<double>> upcoming_speeds; ///< by the first step to which they apply
    std::vector<double> speeds;
};

/// Writes all steps of a source as a trace file. Token counts are written as integers, without their fractions.
/// @returns done, or the reason why the file could not be written
result<done> write_trace(step_source& steps, const std::string& file);

} // namespace pomelohoist
