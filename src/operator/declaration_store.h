#pragma once

#include "declaration/configuration.h"
#include "spread/configuration_commit.h"

#include <pomelohoist/types.h>

#include <string>
#include <vector>

/// Access of the operator commands to the platform's table service.
namespace pomelohoist {

/// An entry as it is registered in its row `member/entry/NAME`.
struct registered_entry {
    std::string name;
    net_address inner; ///< port 0 when the row is malformed
    std::string data_centre;

    friend bool operator==(const registered_entry&, const registered_entry&) = default;
};

class declaration_store {
  public:
    virtual ~declaration_store() = default;
    /// @returns the newest accepted configuration, or `store_unavailable`
    virtual result<configuration> read_newest() = 0;
    /// @returns the same as `configuration_commit::commit`
    virtual result<configuration> commit(const configuration_change& change) = 0;
    /// @returns all registered entries, or `store_unavailable`
    virtual result<std::vector<registered_entry>> read_entries() = 0;
};

/// The declarations in the platform's table service.
class platform_declaration_store : public declaration_store {
  public:
    platform_declaration_store(table_service& service, configuration_commit& change_committer);

    result<configuration> read_newest() override;
    result<configuration> commit(const configuration_change& change) override;
    result<std::vector<registered_entry>> read_entries() override;

  private:
    table_service& table;
    configuration_commit& committer;
};

/// @returns one entry for each row; the entry of a malformed row has no address
std::vector<registered_entry> parse_entry_rows(const std::vector<table_row>& rows);

/// Prefix of the row keys of registered entries.
inline const std::string entry_row_prefix = "member/entry/";

} // namespace pomelohoist
