#pragma once

#include <pomelohoist/types.h>

#include <string>
#include <vector>

/// Which engines are ranks of one group, and therefore begin their steps together.
namespace pomelohoist {

struct known_engine {
    net_address address;
    std::string group;
    bool is_closed{false}; ///< the group does not serve, as the process beside the engine says

    friend bool operator==(const known_engine&, const known_engine&) = default;
};

class engine_directory {
  public:
    virtual ~engine_directory() = default;
    [[nodiscard]] virtual std::vector<known_engine> engines() const = 0;
};

} // namespace pomelohoist
