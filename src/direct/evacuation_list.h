#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

/// The data centres that operators have evacuated: no new request is sent to their endpoints.
namespace pomelohoist {

/// An evacuation that was declared or taken back.
struct evacuation_change {
    std::string data_centre;
    bool is_evacuated{false};

    friend bool operator==(const evacuation_change&, const evacuation_change&) = default;
};

/// One version of the list. A higher revision is newer.
struct evacuation_list {
    std::uint64_t revision{0};             ///< made by `make_list_revision`
    std::vector<std::string> data_centres; ///< ascending

    [[nodiscard]] bool contains(const std::string& data_centre) const {
        return std::binary_search(this->data_centres.begin(), this->data_centres.end(), data_centre);
    }
    template <class Archive> void serialize(Archive& archive) { archive(this->revision, this->data_centres); }
    friend bool operator==(const evacuation_list&, const evacuation_list&) = default;
};

} // namespace pomelohoist
