#pragma once

#include "direct/store_revision.h"

#include <pomelohoist/types.h>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// The endpoints that are registered in the platform's store.
namespace pomelohoist {

struct endpoint_record {
    std::string instance; ///< name of one registration; usually new at each start of the endpoint
    std::string service;
    net_address address;
    std::string data_centre;
    std::uint32_t slots{1}; ///< requests that the endpoint processes at once
    bool is_leaving{false};
    std::uint64_t started_ms{0}; ///< Unix time of the endpoint's start, by its own clock; 0 when not reported

    template <class Archive> void serialize(Archive& archive) {
        archive(this->instance, this->service, this->address, this->data_centre, this->slots, this->is_leaving,
                this->started_ms);
    }
    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

/// Instance and start: an endpoint that starts again may keep its instance.
using endpoint_incarnation = std::pair<std::string, std::uint64_t>;

inline endpoint_incarnation incarnation_of(const endpoint_record& record) {
    return {record.instance, record.started_ms};
}

/// One version of the list. A higher revision is newer.
struct endpoint_list {
    std::uint64_t revision{0}; ///< of the reading that it comes from, made by `make_list_revision`
    std::vector<endpoint_record> endpoints;

    template <class Archive> void serialize(Archive& archive) { archive(this->revision, this->endpoints); }
    friend bool operator==(const endpoint_list&, const endpoint_list&) = default;
};

/// @returns a number that is higher for a later reading, also after a restore of the store
std::uint64_t make_list_revision(const store_revision& read_at);
/// @returns the era of the store in which the list was read
std::uint64_t era_of_list(std::uint64_t list_revision);

/// Removes each record whose address is also in the record of a later start: an endpoint that restarts registers under
/// a new name, and its old registration expires only some seconds later.
std::vector<endpoint_record> without_superseded(std::vector<endpoint_record> records);

} // namespace pomelohoist
