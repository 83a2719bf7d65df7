#pragma once

#include "declaration/configuration.h"
#include "spread/configuration_commit.h"

#include <pomelohoist/types.h>

#include <string>
#include <vector>

/// What the commands need of the platform's table service.
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
    /// @returns as configuration_commit::commit
    virtual result<configuration> commit(const configuration_change& change) = 0;
    /// @returns all registered entries, or `store_unavailable`
    virtual result<std::vector<registered_entry>> read_entries() = 0;
};

/// The declarations in the platform's table service.
class platform_declaration_store : public declaration_store {
  public:
    platform_declaration_store(table_service& rows, configuration_commit& changes);

    result<configuration> read_newest() override;
    result<configuration> commit(const configuration_change& change) override;
    result<std::vector<registered_entry>> read_entries() override;

  private:
    table_service& table;
    configuration_commit& committer;
};

/// @returns the entries that the rows describe; a malformed row gives an entry without an address
std::vector<registered_entry> parse_entry_rows(const std::vector<table_row>& rows);

/// Begin of the keys of the entries' rows.
inline const std::string entry_row_prefix = "member/entry/";

} // namespace pomelohoist
