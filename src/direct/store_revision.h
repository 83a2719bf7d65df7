#pragma once

#include <compare>
#include <cstdint>

namespace pomelohoist {

/// A moment in the history of the platform's store; later moments compare greater.
struct store_revision {
    std::uint64_t era{0};    ///< rises each time the store is restored from an older copy
    std::uint64_t number{0}; ///< rises with each transaction; a new era reuses the numbers that the restore has lost

    // NOLINTNEXTLINE(modernize-use-nullptr): the 0 that `<` is rewritten to is taken for a null pointer
    friend auto operator<=>(const store_revision&, const store_revision&) = default;
};

} // namespace pomelohoist
