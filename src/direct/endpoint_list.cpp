#include "direct/endpoint_list.h"

#include <algorithm>
#include <map>

namespace pomelohoist {

namespace {

constexpr unsigned era_shift = 48; // leaves 48 bits for the number of a store's revision

} // namespace

std::uint64_t make_list_revision(const store_revision& read_at) {
    return (read_at.era << era_shift) | read_at.number;
}

std::uint64_t era_of_list(std::uint64_t list_revision) {
    return list_revision >> era_shift;
}

std::vector<endpoint_record> without_superseded(std::vector<endpoint_record> records) {
    std::map<net_address, std::uint64_t> latest;
    for (const endpoint_record& record : records) {
        std::uint64_t& latest_start = latest[record.address];
        latest_start = std::max(latest_start, record.started_ms);
    }
    std::erase_if(records,
                  [&latest](const endpoint_record& record) { return record.started_ms < latest.at(record.address); });
    return records;
}

} // namespace pomelohoist
