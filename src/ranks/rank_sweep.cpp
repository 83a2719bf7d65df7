#include "ranks/rank_sweep.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace pomelohoist {

void sequential_sweep::for_each(std::uint32_t ranks, const std::function<void(std::uint32_t)>& call) {
    for (std::uint32_t i = 0; i < ranks; ++i) {
        call(i);
    }
}

void parallel_sweep::for_each(std::uint32_t ranks, const std::function<void(std::uint32_t)>& call) {
    std::atomic<std::uint32_t> next{0};
    const auto work = [&] {
        for (std::uint32_t i = next++; i < ranks; i = next++) {
            call(i);
        }
    };
    std::vector<std::thread> helpers;
    const std::uint32_t threads = std::min(ranks, config::rank_sweep_threads);
    for (std::uint32_t i = 1; i < threads; ++i) {
        helpers.emplace_back(work);
    }
    work();
    for (std::thread& helper : helpers) {
        helper.join();
    }
}

} // namespace pomelohoist
