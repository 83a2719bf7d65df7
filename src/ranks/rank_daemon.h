#pragma once

#include "common/daemon.h"
#include "direct/direct_daemon.h"
#include "ranks/remote_rank.h"

#include <cstdint>
#include <memory>
#include <string>

/// The process on the host of a rank: forwards the coordinator's commands to the rank's engine. The process of the
/// lowest live rank coordinates the group.
namespace pomelohoist {

/// Connects the process to a platform and to the local engine.
class rank_platform : public direct_platform, public rank_engine_source {
  public:
    /// Acquires a fencing token that is higher than all earlier ones.
    /// @returns the token, or `store_unavailable`
    virtual result<std::uint64_t> acquire_fencing_token(const settings& checked, const std::string& group,
                                                        const std::string& holder) = 0;
};

class rank_daemon_factory : public daemon_factory {
  public:
    explicit rank_daemon_factory(rank_platform& connector) : platform(connector) {}
    [[nodiscard]] settings_schema schema() const override;
    std::unique_ptr<daemon> create(const settings& checked, const daemon_context& context) override;

  private:
    rank_platform& platform;
};

} // namespace pomelohoist
