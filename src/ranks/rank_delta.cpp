#include "ranks/rank_delta.h"

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>
#include <Poco/MemoryStream.h>

#include <limits>
#include <sstream>
#include <utility>

namespace pomelohoist {

namespace {

// Far above the cells of the largest group; bounds what a malformed message makes a process allocate.
constexpr std::uint64_t max_counts = 1U << 20U;

class number_reader {
  public:
    explicit number_reader(std::string_view bytes) : stream(bytes.data(), bytes.size()), reader(stream) {}
    /// @returns the next number, or nothing at the end of the bytes
    std::optional<std::uint64_t> next() {
        if (this->stream.peek() == std::char_traits<char>::eof()) {
            return std::nullopt;
        }
        Poco::UInt64 number = 0;
        this->reader.read7BitEncoded(number);
        return this->reader.good() ? std::optional<std::uint64_t>{number} : std::nullopt;
    }

  private:
    Poco::MemoryInputStream stream;
    Poco::BinaryReader reader;
};

void write_number(Poco::BinaryWriter& writer, std::uint64_t number) {
    writer.write7BitEncoded(static_cast<Poco::UInt64>(number));
}

} // namespace

std::optional<std::string> encode_counts(const std::vector<std::uint64_t>& counts,
                                         const std::vector<std::uint64_t>& base) {
    if (!base.empty() && base.size() != counts.size()) {
        return std::nullopt;
    }
    std::ostringstream stream;
    Poco::BinaryWriter writer{stream};
    write_number(writer, counts.size());
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const std::uint64_t earlier = base.empty() ? 0 : base[i];
        if (counts[i] < earlier) {
            return std::nullopt;
        }
        write_number(writer, counts[i] - earlier);
    }
    return std::move(stream).str();
}

std::optional<std::vector<std::uint64_t>> decode_counts(std::string_view bytes,
                                                        const std::vector<std::uint64_t>& base) {
    number_reader numbers{bytes};
    const std::optional<std::uint64_t> size = numbers.next();
    if (!size || *size > max_counts || (!base.empty() && base.size() != *size)) {
        return std::nullopt;
    }
    std::vector<std::uint64_t> counts(*size, 0);
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const std::optional<std::uint64_t> difference = numbers.next();
        if (!difference) {
            return std::nullopt;
        }
        counts[i] = (base.empty() ? 0 : base[i]) + *difference;
    }
    return numbers.next() ? std::nullopt : std::optional{std::move(counts)};
}

std::string encode_slots(const std::vector<std::uint16_t>& slots, const std::vector<std::uint16_t>& base) {
    // Pairs of the distance from the previous changed slot and its new content.
    std::ostringstream stream;
    Poco::BinaryWriter writer{stream};
    std::size_t previous = 0;
    for (std::size_t i = 0; i < slots.size(); ++i) {
        if (slots[i] != base[i]) {
            write_number(writer, i - previous);
            write_number(writer, slots[i]);
            previous = i;
        }
    }
    return std::move(stream).str();
}

std::optional<std::vector<std::uint16_t>> decode_slots(std::string_view bytes, const std::vector<std::uint16_t>& base) {
    std::vector<std::uint16_t> slots = base;
    number_reader numbers{bytes};
    std::size_t position = 0;
    while (const std::optional<std::uint64_t> distance = numbers.next()) {
        const std::optional<std::uint64_t> content = numbers.next();
        if (!content || *content > std::numeric_limits<std::uint16_t>::max() || *distance >= slots.size() - position) {
            return std::nullopt;
        }
        position += *distance;
        slots[position] = static_cast<std::uint16_t>(*content);
    }
    return slots;
}

} // namespace pomelohoist
