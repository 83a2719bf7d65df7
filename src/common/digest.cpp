#include "common/digest.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pomelohoist {

std::string sha256_hex(std::string_view text) {
    Poco::SHA2Engine engine{Poco::SHA2Engine::SHA_256};
    engine.update(text.data(), text.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace pomelohoist
