#pragma once

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// INI settings files, checked against a schema before the daemon starts.
namespace pomelohoist {

enum class setting_type : std::uint8_t {
    text,
    address,      ///< IP:PORT
    address_list, ///< IP:PORT, separated by commas; may be empty
    integer,
    number,
    duration_ms, ///< whole milliseconds
    flag,        ///< true or false
    choice,      ///< one of `allowed`
    count
};

/// One key that a settings file may contain.
struct setting_spec {
    std::string key; ///< "section.key"
    setting_type type{setting_type::text};
    bool required{false};
    std::string default_value;
    std::string description;          ///< one line for docs/operators.md
    std::vector<std::string> allowed; ///< for `choice`
    std::optional<double> lowest{};   ///< lowest allowed value, for `integer` and `number`

    friend bool operator==(const setting_spec&, const setting_spec&) = default;
};

using settings_schema = std::vector<setting_spec>;

class settings {
  public:
    /// @returns the settings, or `invalid_settings` with one line for each unknown key, bad value and missing key;
    /// a line names the file, the section, the key and the allowed values
    static result<settings> load(const std::string& file, const settings_schema& schema);

    /// @attention the getters accept only keys that the schema has with the matching type
    [[nodiscard]] const std::string& text(const std::string& key) const;
    [[nodiscard]] net_address address(const std::string& key) const;
    [[nodiscard]] std::vector<net_address> address_list(const std::string& key) const;
    [[nodiscard]] std::int64_t integer(const std::string& key) const;
    [[nodiscard]] double number(const std::string& key) const;
    [[nodiscard]] std::chrono::milliseconds duration(const std::string& key) const;
    [[nodiscard]] bool flag(const std::string& key) const;

  private:
    std::map<std::string, std::string> values;
};

} // namespace pomelohoist
