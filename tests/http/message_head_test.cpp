#include "http/body_framing.h"
#include "http/connection_fields.h"
#include "http/head_scanner.h"
#include "http/message_head.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace pomelohoist {
namespace {

using namespace std::string_literals;
using fields = std::vector<inner::header_field>;

const fields sound_fields{{"Host", "h.example"},
                          {"X-Note", "=?UTF-8?B?YQ0KYg==?="},
                          {"X-Note", "a\tb, \"c: d\""},
                          {"x-note", "caf\xc3\xa9 \xe9"},
                          {"X-Empty", ""}};

// Guards against a head that is read differently from how it was written, and against bytes that the two forms share
// but one of them changes.
TEST(message_head_test, what_is_written_is_read) {
    const result<std::string> request = encode_request_head("POST", "/a?b=%0D%0A", sound_fields);
    ASSERT_TRUE(request);
    EXPECT_EQ(*parse_request_head(*request), (request_head{"POST", "/a?b=%0D%0A", false, sound_fields}));
    for (const std::uint16_t status : {200, 299, 404, 599}) {
        const result<std::string> response = encode_response_head(status, sound_fields);
        ASSERT_TRUE(response);
        EXPECT_EQ(*parse_response_head(*response), (http_response_head{status, sound_fields}));
    }
}

// Guards against a value, a name or a target that becomes a line of its own.
TEST(message_head_test, what_would_not_stay_on_its_line_is_not_written) {
    for (const std::string& value :
         {"a\r\nX-B: 1"s, "a\nb"s, "a\rb"s, "a\0b"s, "\x1b"s, "\x7f"s, " a"s, "a\t"s, "\r\n"s}) {
        EXPECT_FALSE(encode_request_head("GET", "/", {{"X-A", value}})) << value;
        EXPECT_FALSE(encode_response_head(200, {{"X-A", value}})) << value;
    }
    for (const std::string& name : {""s, "X A"s, "X-A:"s, "X-A\r\nX-B"s, "X-\xc3\xa9"s}) {
        EXPECT_FALSE(encode_request_head("GET", "/", {{name, "a"}})) << name;
        EXPECT_FALSE(encode_response_head(200, {{name, "a"}})) << name;
    }
    for (const std::string& target : {""s, "/a b"s, "/a\r\nX-B: 1"s, "/a\x01"s}) {
        EXPECT_FALSE(encode_request_head("GET", target, {})) << target;
    }
    EXPECT_FALSE(encode_request_head("GET /b", "/", {}));
}

// Guards against any text that a reader of heads accepts and a writer turns into other lines: what is read is written
// as it was, or not at all.
TEST(message_head_test, any_head_that_is_read_is_written_with_the_same_bytes) {
    const std::string letters = "\r\n\t :aZ=?-_\x01\x80\xff\0\x7f;,/1"s;
    std::mt19937 random{46};
    std::uniform_int_distribution<std::size_t> pick{0, letters.size() - 1};
    std::uniform_int_distribution<int> length{0, 24};
    int accepted = 0;
    for (int i = 0; i < 200000; ++i) {
        std::string line;
        for (int left = length(random); left > 0; --left) {
            line += letters[pick(random)];
        }
        const result<request_head> head = parse_request_head("GET / HTTP/1.1\r\nX-" + line + "\r\n\r\n");
        if (!head) {
            continue;
        }
        ++accepted;
        const result<std::string> written = encode_request_head(head->method, head->target, head->headers);
        ASSERT_TRUE(written) << line;
        ASSERT_EQ(*parse_request_head(*written), *head) << line;
    }
    EXPECT_GT(accepted, 100);
}

// Guards against the end of a head that is found elsewhere when its bytes arrive in pieces.
TEST(head_scanner_test, finds_the_same_end_for_any_pieces) {
    const std::string head = *encode_request_head("GET", "/", sound_fields);
    const std::string bytes = head + "\r\n\r\nbody";
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        head_scanner scanner;
        head_scanner::state state = head_scanner::state::incomplete;
        for (std::size_t arrived = size; state == head_scanner::state::incomplete; arrived += size) {
            state = scanner.scan(std::string_view{bytes}.substr(0, arrived));
        }
        EXPECT_EQ(state, head_scanner::state::complete) << size;
        EXPECT_EQ(scanner.length(), head.size()) << size;
    }
}

// Guards against endless bytes that are kept until a limit although they can become no head.
TEST(head_scanner_test, control_characters_are_refused_as_they_arrive) {
    for (const std::string& bytes : {"\n"s, "a\nb"s, "a\rb"s, "a\0"s, "\x1b"s, "a\x7f"s}) {
        EXPECT_EQ(head_scanner{}.scan(bytes), head_scanner::state::malformed) << bytes;
    }
    EXPECT_EQ(head_scanner{}.scan("a\r"), head_scanner::state::incomplete);
    EXPECT_EQ(head_scanner{}.scan("a\tb\x80"), head_scanner::state::incomplete);
}

// Guards against two readers that find different ends of one body.
TEST(body_framing_test, a_request_states_exactly_one_end) {
    const auto framing_of = [](const fields& headers, bool is_http_1_0 = false) {
        return request_framing({"POST", "/", is_http_1_0, headers});
    };
    EXPECT_EQ(framing_of({})->form, body_framing::kind::none);
    EXPECT_EQ(*framing_of({{"content-length", "12"}}), (body_framing{body_framing::kind::length, 12}));
    EXPECT_EQ(framing_of({{"Transfer-Encoding", "Chunked"}})->form, body_framing::kind::chunked);
    for (const fields& headers :
         std::vector<fields>{{{"Content-Length", "1"}, {"Content-Length", "1"}},
                             {{"Content-Length", "1"}, {"Transfer-Encoding", "chunked"}},
                             {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}},
                             {{"Transfer-Encoding", "gzip"}},
                             {{"Transfer-Encoding", ""}},
                             {{"Content-Length", "+1"}},
                             {{"Content-Length", "1 1"}},
                             {{"Content-Length", "18446744073709551616"}}}) {
        EXPECT_FALSE(framing_of(headers));
    }
    EXPECT_FALSE(framing_of({{"Transfer-Encoding", "chunked"}}, true));
}

// Guards against a response that is read beyond its end, or not to its end.
TEST(body_framing_test, a_response_ends_as_its_status_and_fields_say) {
    EXPECT_EQ(response_framing({200, {}}, false)->form, body_framing::kind::until_close);
    for (const std::uint16_t status : {100, 204, 304}) {
        EXPECT_EQ(response_framing({status, {{"Content-Length", "5"}}}, false)->form, body_framing::kind::none);
    }
    EXPECT_EQ(response_framing({200, {{"Content-Length", "5"}}}, true)->form, body_framing::kind::none);
    EXPECT_EQ(response_framing({200, {{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}}}, false)->form,
              body_framing::kind::chunked);
    EXPECT_FALSE(response_framing({200, {{"Content-Length", "5"}, {"Content-Length", "6"}}}, false));
}

// Guards against fields that are merged, reordered or dropped together with those of one connection.
TEST(connection_fields_test, all_other_fields_are_kept_in_their_order) {
    const fields all{{"X-A", "1"},         {"Connection", "close, X-Hop"}, {"X-A", "2"},       {"x-hop", "1"},
                     {"TE", "trailers"},   {"connection", "X-Far"},        {"X-Far", "1"},     {"X-A", "1"},
                     {"Upgrade", "other"}, {"Content-Length", "3"},        {"X-Close", "kept"}};
    EXPECT_EQ(end_to_end_fields(all), (fields{{"X-A", "1"}, {"X-A", "2"}, {"X-A", "1"}, {"X-Close", "kept"}}));
    EXPECT_TRUE(has_connection_option(all, "close"));
    EXPECT_FALSE(has_connection_option(all, "keep-alive"));
    EXPECT_EQ(response_fields({{"Content-Length", "3"}}, true), (fields{{"Content-Length", "3"}}));
    EXPECT_TRUE(response_fields({{"Content-Length", "3"}}, false).empty());
}

} // namespace
} // namespace pomelohoist
