// Measures the resource use of each role and prints it with its slopes over the size of the load. The figures of
// docs/CAPACITY.md are calculated from this table.

#include "capacity/sections.h"

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

int main(int argc, char** argv) {
    using namespace pomelohoist::capacity;
    const std::string binary = argv[0];
    const std::string binaries = binary.substr(0, binary.rfind('/'));
    const run_folders folders{binaries, binaries + "/../capacity"};
    report table;
    const std::vector<std::pair<std::string, std::function<void()>>> sections{
        {"size", [&] { measure_declared_size(folders, table); }},
        {"large", [&] { measure_large_change(folders, table); }},
        {"requests", [&] { measure_requests(folders, table); }},
        {"propagation", [&] { measure_propagation(table); }},
        {"processes", [&] { measure_processes(folders, table); }},
        {"coordinator", [&] { measure_coordinator(folders, table); }},
    };
    const std::vector<std::string> selected{argv + 1, argv + argc};
    int failed = 0;
    for (const auto& [name, measure] : sections) {
        if (!selected.empty() && std::find(selected.begin(), selected.end(), name) == selected.end()) {
            continue;
        }
        const auto begin = std::chrono::steady_clock::now();
        try {
            measure();
        } catch (const std::exception& error) {
            std::cout << "section " << name << " failed: " << error.what() << '\n';
            ++failed;
        }
        constexpr double milliseconds_per_second = 1000.0;
        std::cout << "\nsection " << name << ": " << elapsed_ms(begin) / milliseconds_per_second << " s" << std::endl;
    }
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
