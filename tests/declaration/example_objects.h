#pragma once

#include "declaration/configuration.h"

#include <string>

namespace pomelohoist {

/// @returns 64 hexadecimal digits that differ for each number
inline std::string example_digest(std::size_t number) {
    std::string digits = std::to_string(number);
    return std::string(64 - digits.size(), '0') + digits;
}

/// Objects of a cluster: every eighth workspace is "large", endpoints alternate between two pools, and one selector for
/// each workspace size lets its workspaces reach one pool.
inline object_map make_example_objects(std::size_t workspaces, std::size_t endpoints) {
    object_map objects;
    for (std::size_t i = 0; i < workspaces; ++i) {
        objects[{object_kind::workspace, "workspace-" + std::to_string(i)}].values = {
            {"key_sha256", example_digest(i)},
            {"weight", "1.5"},
            {"label.size", i % 8 == 0 ? "large" : "small"},
            {"label.region", "nl-west"}};
    }
    for (std::size_t i = 0; i < endpoints; ++i) {
        objects[{object_kind::endpoint, "endpoint-" + std::to_string(i)}].values = {
            {"kind", "model"},
            {"agent", "127.0.0.1:" + std::to_string(10000 + i)},
            {"data_centre", "nl-west-a"},
            {"host", "host-" + std::to_string(i)},
            {"serves", "design-llm"},
            {"group", "group-" + std::to_string(i / 256)},
            {"rank", std::to_string(i % 256)},
            {"label.pool", i % 2 == 0 ? "large" : "small"}};
    }
    objects[{object_kind::application, "drafts"}].values = {{"label.class", "draft"}};
    for (const std::string size : {"large", "small"}) {
        objects[{object_kind::selector, size}].values = {{"workspaces", "size=" + size},
                                                         {"applications", "class=draft"},
                                                         {"endpoints", "pool=" + size + ",state!=drained"}};
    }
    return objects;
}

} // namespace pomelohoist
