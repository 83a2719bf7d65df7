#include "direct/endpoint_list.h"

#include <algorithm>
#include <map>

namespace pomelohoist {

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
