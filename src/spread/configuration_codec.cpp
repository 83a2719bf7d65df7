#include "spread/configuration_codec.h"

#include "inner/codec.h"

#include <utility>

namespace pomelohoist {

namespace {

struct snapshot_content {
    std::uint64_t version{0};
    object_map objects;

    template <class Archive> void serialize(Archive& archive) { archive(this->version, this->objects); }
};

/// Writes the same bytes as `snapshot_content` without copying the objects.
struct snapshot_writer {
    const configuration& source;

    template <class Archive> void save(Archive& archive) const {
        cereal::size_type number = 0;
        this->source.for_each_object(
            [&number](const object_key& /*key*/, const object_fields& /*fields*/) { ++number; });
        archive(this->source.version(), cereal::make_size_tag(number));
        this->source.for_each_object(
            [&archive](const object_key& key, const object_fields& fields) { archive(key, fields); });
    }
};

} // namespace

std::string encode_configuration(const configuration& content) {
    return inner::encode(snapshot_writer{content});
}

result<configuration> decode_configuration(const std::string& bytes) {
    result<snapshot_content> content = inner::decode<snapshot_content>(bytes);
    if (!content) {
        return content.last_error();
    }
    return configuration::build(content->version, std::move(content->objects));
}

std::string encode_delta(const configuration_delta& delta) {
    return inner::encode(delta);
}

result<configuration_delta> decode_delta(const std::string& bytes) {
    return inner::decode<configuration_delta>(bytes);
}

} // namespace pomelohoist
