#pragma once

#include <filesystem>
#include <string>

namespace pomelohoist::faults {

/// @returns an empty folder for settings, logs and journals of one test
inline std::string make_work_folder(const std::string& name) {
    std::string folder = POMELOHOIST_BIN_DIR "/../faults/" + name;
    std::filesystem::remove_all(folder);
    return folder;
}

} // namespace pomelohoist::faults
