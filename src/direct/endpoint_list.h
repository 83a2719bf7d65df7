#pragma once

#include <pomelohoist/types.h>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The endpoints that registered themselves in the platform's store.
namespace pomelohoist {

struct endpoint_record {
    std::string instance; ///< names one registration; mostly new at each start of the endpoint
    std::string service;
    net_address address;
    std::string data_centre;
    std::uint32_t slots{1}; ///< requests that it processes at once
    bool is_leaving{false};
    std::uint64_t started_ms{0}; ///< Unix time of the endpoint's start, by its own clock; 0 where it does not say

    template <class Archive> void serialize(Archive& archive) {
        archive(this->instance, this->service, this->address, this->data_centre, this->slots, this->is_leaving,
                this->started_ms);
    }
    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

/// One state of the list. A higher revision is newer.
struct endpoint_list {
    std::uint64_t revision{0}; ///< of the store, when the list last changed
    std::vector<endpoint_record> endpoints;

    template <class Archive> void serialize(Archive& archive) { archive(this->revision, this->endpoints); }
    friend bool operator==(const endpoint_list&, const endpoint_list&) = default;
};

/// @returns the records without those whose address a later start has taken over: an endpoint that starts anew
/// registers under a new name, and its old registration lapses only some seconds later
std::vector<endpoint_record> without_superseded(std::vector<endpoint_record> records);

} // namespace pomelohoist
