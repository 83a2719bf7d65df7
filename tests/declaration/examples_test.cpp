#include "common/digest.h"
#include "declaration/declaration_file.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace pomelohoist {
namespace {

const std::string examples = std::string{POMELOHOIST_SOURCE_DIR} + "/examples/";

configuration read_deployment(const std::string& deployment) {
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator{examples + deployment + "/declarations"}) {
        files.push_back(entry.path().string());
    }
    const result<object_map> objects = read_declarations(files);
    EXPECT_TRUE(objects) << objects.last_error().reason;
    const result<configuration> built = configuration::build(1, objects ? *objects : object_map{});
    EXPECT_TRUE(built) << built.last_error().reason;
    return built ? *built : configuration{};
}

// Guards against example declarations that cannot be applied or in which a workspace reaches no endpoint.
TEST(examples_test, deployments_reach_their_endpoints) {
    const configuration kartonfeest = read_deployment("kartonfeest");
    EXPECT_EQ(kartonfeest.reachable("school-noord", "drafts", endpoint_kind::model, "design-llm").size(), 16U);
    EXPECT_EQ(kartonfeest.reachable("webshop", "orders", endpoint_kind::service, "workshop-app").size(), 3U);
    EXPECT_FALSE(kartonfeest.may_reach("webshop", "orders", "design-llm-01"));
    EXPECT_FALSE(kartonfeest.find_application("orders")->idempotent);
    const configuration memoria = read_deployment("memoria-austral");
    EXPECT_EQ(memoria.reachable("equipo-angol", "drafts", endpoint_kind::model, "escriba").size(), 16U);
    EXPECT_EQ(memoria.reachable("mesa-central", "bookings", endpoint_kind::service, "mesa-citas").size(), 3U);
    EXPECT_FALSE(memoria.find_application("bookings")->idempotent);
    EXPECT_TRUE(memoria.find_application("drafts")->idempotent);
}

TEST(examples_test, numbered_examples_apply_one_after_the_other) {
    const result<object_map> first = read_declarations({examples + "01-first-declaration.ini"});
    const result<object_map> second = read_declarations({examples + "02-drain-by-label.ini"});
    ASSERT_TRUE(first) << first.last_error().reason;
    ASSERT_TRUE(second) << second.last_error().reason;
    const result<configuration> current = configuration::build(1, *first);
    ASSERT_TRUE(current);
    const result<configuration> next = current->apply({2, {"c", diff_objects(*first, *second, false)}});
    ASSERT_TRUE(next) << next.last_error().reason;
    EXPECT_EQ(next->reachable("team", "drafts", endpoint_kind::model, "writer").size(), 3U);
}

// Guards against example keys that do not match their declared digest.
TEST(examples_test, listed_keys_have_the_declared_digests) {
    std::ifstream stream{examples + "README.md"};
    std::string line;
    int keys = 0;
    while (std::getline(stream, line)) {
        const auto begin = line.find("`EXAMPLE-KEY-");
        if (begin == std::string::npos) {
            continue;
        }
        const auto end = line.find('`', begin + 1);
        const std::string digest = sha256_hex(line.substr(begin + 1, end - begin - 1));
        EXPECT_NE(line.find("`" + digest + "`"), std::string::npos) << line;
        const std::string declaration = line.substr(2, line.find(' ', 2) - 2);
        if (!declaration.ends_with(".ini")) {
            EXPECT_NE(read_deployment(declaration).find_workspace_by_key(digest), nullptr) << line;
        }
        ++keys;
    }
    EXPECT_EQ(keys, 21);
}

} // namespace
} // namespace pomelohoist
