#pragma once

#include <filesystem>
#include <fstream>
#include <random>
#include <string>

namespace pomelohoist {

/// A file in the system's temporary folder that is removed at the end of its scope.
class temporary_file {
  public:
    explicit temporary_file(const std::string& content)
        : file(std::filesystem::temp_directory_path() / ("pomelohoist-" + std::to_string(std::random_device{}()))) {
        std::ofstream{this->file} << content;
    }
    ~temporary_file() { std::filesystem::remove(this->file); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    [[nodiscard]] std::string path() const { return this->file.string(); }

  private:
    std::filesystem::path file;
};

} // namespace pomelohoist
