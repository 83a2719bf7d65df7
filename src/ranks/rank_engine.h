#pragma once

#include <pomelohoist/error.h>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// A rank of an expert-parallel group. Its engine switches expert maps on command, as a given step begins.
namespace pomelohoist {

/// A map that a rank switches to as a step begins.
struct armed_switch {
    std::uint64_t version{0};
    std::uint64_t step{0};

    template <class Archive> void serialize(Archive& archive) { archive(this->version, this->step); }
    friend bool operator==(const armed_switch&, const armed_switch&) = default;
};

/// State that a rank reports.
struct rank_state {
    std::string group;
    std::uint64_t epoch{
        0}; ///< grows when the group forms anew, which also discards prepared maps, armed switches and holds
    std::uint32_t rank{0};
    std::uint32_t ranks{0}; ///< number of ranks of the group
    bool is_open{false};
    std::uint64_t step{0}; ///< last step that has begun
    std::uint64_t map_version{0};
    std::uint64_t prepared_version{0}; ///< 0 for none; set once the copies are complete
    std::optional<armed_switch> armed;
    std::optional<std::uint64_t> held_step; ///< the group does not begin this step
    std::uint32_t active{0};                ///< requests that run or wait at this rank

    template <class Archive> void serialize(Archive& archive) {
        archive(this->group, this->epoch, this->rank, this->ranks, this->is_open, this->step, this->map_version,
                this->prepared_version, this->armed, this->held_step, this->active);
    }
    friend bool operator==(const rank_state&, const rank_state&) = default;
};

enum class rank_command_kind : std::uint8_t {
    prepare, ///< copy the experts of a map that are new to this rank
    arm,     ///< switch to the prepared map as a step begins
    hold,    ///< do not begin a step until `go`; applies to the whole group
    go,      ///< end a hold
    count
};

/// A command to a rank. All kinds are idempotent: a rank that is already in the requested state accepts the command.
struct rank_command {
    rank_command_kind kind{rank_command_kind::count};
    std::uint64_t epoch{0}; ///< a rank in another epoch refuses the command
    std::uint64_t fence{0}; ///< fencing token; a rank that has seen a higher token refuses the command
    std::uint64_t version{0};
    std::uint64_t step{0};
    std::uint32_t layers{0};          ///< with `prepare`: shape of `slots`
    std::uint32_t ranks{0};           ///< with `prepare`: shape of `slots`
    std::vector<std::uint16_t> slots; ///< with `prepare`: experts in the order layer, rank, slot

    template <class Archive> void serialize(Archive& archive) {
        archive(this->kind, this->epoch, this->fence, this->version, this->step, this->layers, this->ranks,
                this->slots);
    }
    friend bool operator==(const rank_command&, const rank_command&) = default;
};

enum class command_outcome : std::uint8_t {
    accepted,    ///< in progress, done, or already in the requested state
    refused,     ///< the rank's state does not permit the command
    fenced,      ///< the rank has seen a higher fencing token
    no_response, ///< may have been accepted, and may still be executed seconds later
    count
};

/// The experts that a rank holds.
struct rank_experts {
    std::uint64_t map_version{0};
    std::vector<std::vector<std::uint32_t>> by_layer;

    template <class Archive> void serialize(Archive& archive) { archive(this->map_version, this->by_layer); }
    friend bool operator==(const rank_experts&, const rank_experts&) = default;
};

class rank_engine {
  public:
    virtual ~rank_engine() = default;
    virtual result<rank_state> read_state() = 0;
    /// @returns how often each expert was selected since the rank started, in the order layer, expert
    virtual result<std::vector<std::uint64_t>> read_counts() = 0;
    virtual result<rank_experts> read_experts() = 0;
    virtual command_outcome send_command(const rank_command& command) = 0;
};

/// Access of a coordinator to the ranks of its group.
class rank_group {
  public:
    virtual ~rank_group() = default;
    [[nodiscard]] virtual std::uint32_t size() const = 0;
    /// @param rank below `size`
    virtual rank_engine& rank(std::uint32_t rank) = 0;
};

/// Waits between checks and retries; tests replace the wait by virtual time.
class pause_source {
  public:
    virtual ~pause_source() = default;
    /// @returns false when the process stops
    virtual bool pause(std::uint32_t milliseconds) = 0;
};

} // namespace pomelohoist
