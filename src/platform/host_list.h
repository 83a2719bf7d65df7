#pragma once

#include <pomelohoist/error.h>

#include <cstdint>
#include <string>
#include <vector>

/// The platform's list of live and leaving hosts, which lags behind the hosts' actual state.
namespace pomelohoist {

struct host_list_content {
    std::uint64_t version{0};
    std::vector<std::string> leaving; ///< host names, as in the setting process.host

    friend bool operator==(const host_list_content&, const host_list_content&) = default;
};

class host_list {
  public:
    virtual ~host_list() = default;
    /// @returns the list, or `store_unavailable`
    virtual result<host_list_content> read_hosts() = 0;
};

} // namespace pomelohoist
