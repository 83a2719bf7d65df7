#include "replay/expert_trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace pomelohoist {

namespace {

using nlohmann::json;

// Limits the memory that the reader allocates for the sizes in a malformed first line.
constexpr std::uint64_t max_cells = 1ULL << 28U;
// Sums and squares of larger numbers lose precision or overflow.
constexpr double max_number = 1e15;
constexpr double min_speed = 1e-6;

std::optional<std::uint64_t> read_unsigned(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

/// @returns the numbers of the array, or `bad_request` with the reason why the array is not valid
result<std::vector<double>> read_numbers(const json& array, const std::string& key, std::size_t count) {
    if (!array.is_array() || array.size() != count) {
        return failure{error_kind::bad_request, key + " is not an array of " + std::to_string(count) + " numbers"};
    }
    std::vector<double> numbers;
    numbers.reserve(count);
    for (const json& item : array) {
        const double number = item.is_number() ? item.get<double>() : -1.0;
        if (!(number >= 0.0 && number <= max_number)) {
            return failure{error_kind::bad_request,
                           key + "[" + std::to_string(numbers.size()) + "] is not a number from 0 to 1e15"};
        }
        numbers.push_back(number);
    }
    return numbers;
}

} // namespace

trace_reader::trace_reader(const std::string& file) : file_name(file), stream(file) {
    std::string line;
    if (!this->stream) {
        this->fail("cannot be read");
    } else if (this->read_line(line)) {
        this->parse_header(line);
    } else {
        this->line_number = 1;
        this->fail("is empty; the first line must be {\"kind\":\"expert_load\",...}");
    }
    this->speeds.assign(this->group_shape.ranks, 1.0);
}

void trace_reader::fail(const std::string& reason) {
    this->error =
        failure{error_kind::bad_request, this->file_name + ":" + std::to_string(this->line_number) + ": " + reason};
}

bool trace_reader::read_line(std::string& line) {
    while (!this->error && std::getline(this->stream, line)) {
        ++this->line_number;
        if (line.find_first_not_of(" \t\r") != std::string::npos) {
            return true;
        }
    }
    if (!this->error && this->stream.bad()) {
        this->fail("read error");
    }
    return false;
}

void trace_reader::parse_header(const std::string& line) {
    const json object = json::parse(line, nullptr, false);
    if (!object.is_object() || !object.contains("kind")) {
        return this->fail("the first line is not a JSON object with \"kind\"");
    }
    if (object["kind"] != "expert_load") {
        return this->fail("kind is not \"expert_load\"");
    }
    std::array<std::uint32_t, 4> sizes{};
    constexpr std::array<const char*, 4> keys{"ranks", "experts", "layers", "slots_per_rank"};
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const std::optional<std::uint64_t> number = read_unsigned(object, keys[i]);
        if (!number || *number == 0 || *number > max_cells) {
            return this->fail(std::string{keys[i]} + " is not a whole number from 1 to " + std::to_string(max_cells));
        }
        sizes[i] = static_cast<std::uint32_t>(*number);
    }
    const expert_shape shape{sizes[0], sizes[1], sizes[2], sizes[3]};
    if (shape.slots_per_layer() > max_cells / shape.layers || shape.cells() > max_cells) {
        return this->fail("the group has more than " + std::to_string(max_cells) + " slots or experts in all layers");
    }
    if (shape.slots_per_layer() < shape.experts) {
        return this->fail("ranks * slots_per_rank is less than experts");
    }
    this->group_shape = shape;
}

bool trace_reader::parse_record(const std::string& line) {
    const json object = json::parse(line, nullptr, false);
    if (object.is_discarded() || !object.is_object()) {
        this->fail("not a JSON object");
        return false;
    }
    const std::optional<std::uint64_t> step = read_unsigned(object, "step");
    if (!step) {
        this->fail("step is not a whole number of at least 0");
        return false;
    }
    if (*step < this->last_step) {
        this->fail("step " + std::to_string(*step) + " after step " + std::to_string(this->last_step));
        return false;
    }
    const auto rank_speed = object.find("rank_speed");
    if (rank_speed != object.end()) {
        const auto numbers = read_numbers(*rank_speed, "rank_speed", this->group_shape.ranks);
        const bool has_bad_speed =
            numbers && std::any_of(numbers->begin(), numbers->end(), [](double speed) { return speed < min_speed; });
        if (!numbers || has_bad_speed) {
            this->fail(numbers ? "rank_speed holds a speed below 1e-6" : numbers.last_error().reason);
            return false;
        }
        this->upcoming_speeds[*step] = *numbers;
    }
    const auto tokens = object.find("tokens");
    if (tokens == object.end()) {
        if (rank_speed == object.end()) {
            this->fail("neither tokens nor rank_speed");
        }
        return false;
    }
    const std::optional<std::uint64_t> layer = read_unsigned(object, "layer");
    if (!layer || *layer >= this->group_shape.layers) {
        this->fail("layer is not a whole number below " + std::to_string(this->group_shape.layers));
        return false;
    }
    result<std::vector<double>> numbers = read_numbers(*tokens, "tokens", this->group_shape.experts);
    if (!numbers) {
        this->fail(numbers.last_error().reason);
        return false;
    }
    this->lookahead = layer_line{*step, static_cast<std::uint32_t>(*layer), std::move(*numbers)};
    this->last_step = *step;
    return true;
}

bool trace_reader::read_layer_line() {
    std::string line;
    while (!this->lookahead && this->read_line(line)) {
        if (this->parse_record(line)) {
            return true;
        }
    }
    return this->lookahead.has_value();
}

void trace_reader::add_layer(trace_step& step, std::vector<bool>& read_layers) {
    const layer_line& line = *this->lookahead;
    if (read_layers[line.layer]) {
        return this->fail("layer " + std::to_string(line.layer) + " twice in step " + std::to_string(line.step));
    }
    read_layers[line.layer] = true;
    std::copy(line.tokens.begin(), line.tokens.end(),
              step.tokens.begin() + static_cast<std::ptrdiff_t>(std::size_t{line.layer} * this->group_shape.experts));
    this->lookahead.reset();
}

void trace_reader::apply_speeds(std::uint64_t step) {
    while (!this->upcoming_speeds.empty() && this->upcoming_speeds.begin()->first <= step) {
        this->speeds = std::move(this->upcoming_speeds.begin()->second);
        this->upcoming_speeds.erase(this->upcoming_speeds.begin());
    }
}

result<std::optional<trace_step>> trace_reader::next() {
    std::optional<trace_step> next;
    if (this->read_layer_line()) {
        next = trace_step{this->lookahead->step, std::vector<double>(this->group_shape.cells(), 0.0), {}};
        std::vector<bool> read_layers(this->group_shape.layers, false);
        while (this->read_layer_line() && this->lookahead->step == next->step && !this->error) {
            this->add_layer(*next, read_layers);
        }
        this->apply_speeds(next->step);
        next->speeds = this->speeds;
    }
    if (this->error) {
        return *this->error;
    }
    return next;
}

result<done> write_trace(step_source& steps, const std::string& file) {
    std::ofstream stream{file};
    const expert_shape& shape = steps.shape();
    nlohmann::ordered_json header;
    header["kind"] = "expert_load";
    header["ranks"] = shape.ranks;
    header["experts"] = shape.experts;
    header["layers"] = shape.layers;
    header["slots_per_rank"] = shape.slots_per_rank;
    stream << header.dump() << '\n';
    std::vector<double> speeds(shape.ranks, 1.0);
    while (true) {
        const result<std::optional<trace_step>> next = steps.next();
        if (!next) {
            return next.last_error();
        }
        if (!*next) {
            break;
        }
        const trace_step& step = **next;
        if (step.speeds != speeds) {
            speeds = step.speeds;
            stream << nlohmann::ordered_json{{"step", step.step}, {"rank_speed", speeds}}.dump() << '\n';
        }
        for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
            const auto begin = step.tokens.begin() + static_cast<std::ptrdiff_t>(std::size_t{layer} * shape.experts);
            // Generated token counts are integral, and integers keep the file small.
            const std::vector<std::int64_t> tokens(begin, begin + shape.experts);
            stream << nlohmann::ordered_json{{"step", step.step}, {"layer", layer}, {"tokens", tokens}}.dump() << '\n';
        }
    }
    stream.flush();
    if (!stream) {
        return failure{error_kind::internal, file + ": cannot be written"};
    }
    return done{};
}

} // namespace pomelohoist
