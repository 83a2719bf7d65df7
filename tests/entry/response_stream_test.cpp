#include "entry/response_stream.h"
#include "entry/retry_budget.h"
#include "entry_fixture.h"

namespace pomelohoist {
namespace {

class recording_sink : public response_sink {
  public:
    void set_deadline(steady_time /*time*/) override {}
    void add_header(const std::string& /*name*/, const std::string& /*value*/) override {}
    void send_response(const full_response& response) override { this->text += response.body; }
    void begin_stream(std::uint16_t /*status*/, const std::vector<inner::header_field>& /*headers*/) override {}
    bool send_piece(const std::string& data) override {
        this->text += data;
        return true;
    }
    void end_stream() override { this->ended = true; }
    void send_failure(const request_failure& failed) override { this->text += make_error_response(failed).body; }
    [[nodiscard]] bool is_disconnected() override { return false; }

    std::string text;
    bool ended{false};
};

const inner::run_head stream_head{{1, 1}, 200, {{"content-type", "text/event-stream; charset=utf-8"}}};

// Guards against events that are truncated, lost or miscounted when a chunk ends within an event.
TEST(response_stream_test, sends_the_same_events_for_any_chunk_size) {
    const std::string all = complete_stream();
    for (std::size_t size = 1; size < 40; ++size) {
        entry_request request;
        request.stream = true;
        recording_sink sink;
        response_stream response{request, sink};
        ASSERT_TRUE(response.on_head(stream_head));
        for (std::size_t position = 0; position < all.size(); position += size) {
            ASSERT_TRUE(response.on_data(all.substr(position, size)));
        }
        EXPECT_EQ(response.tokens_sent(), fake_tokens);
        EXPECT_EQ(sink.text.find("[DONE]"), std::string::npos);
        response.finish();
        EXPECT_EQ(sink.text, all);
        EXPECT_TRUE(sink.ended);
    }
}

// Guards against a resumed stream that continues with a response that is not an event stream: the caller would receive
// a mix of two response formats.
TEST(response_stream_test, refuses_to_resume_with_a_non_stream_response) {
    entry_request request;
    request.stream = true;
    recording_sink sink;
    response_stream response{request, sink};
    ASSERT_TRUE(response.on_head(stream_head));
    ASSERT_TRUE(response.on_data(complete_stream()));
    response.begin_attempt();
    EXPECT_FALSE(response.on_head({{1, 2}, 503, {{"Content-Type", "application/json"}}}));
}

// Guards against bytes of a faulty engine that reach the caller as a part of its response, before or after the closing
// events.
TEST(response_stream_test, refuses_bytes_that_are_no_event) {
    const std::string opening = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n";
    const std::string closing = "data: [DONE]\n\n";
    for (const std::string& sound : {opening, closing}) {
        for (const std::string noise : {"noise\n\n", "\x01\x02", "data: noise\n\n", "data: 7\n\n", "data: \xff\n\n",
                                        "other: {\"choices\":[]}\n\n", "HTTP/1.1 200 OK\r\n\r\n"}) {
            entry_request request;
            request.stream = true;
            recording_sink sink;
            response_stream response{request, sink};
            ASSERT_TRUE(response.on_head(stream_head));
            EXPECT_FALSE(response.on_data(sound + noise)) << noise;
            EXPECT_EQ(sink.text, sound == opening ? opening : "") << noise;
        }
    }
}

// Guards against comments, or events after the end of a stream, that keep a request busy for ever.
TEST(response_stream_test, bounds_what_is_no_part_of_the_response) {
    const std::string block = ": " + std::string(1000, 'c') + "\n\n";
    for (const std::string& begin : {std::string{}, std::string{"data: [DONE]\n\n"}}) {
        const std::string endless = begin.empty() ? block : "data: {\"choices\":[]}\n\n";
        entry_request request;
        request.stream = true;
        recording_sink sink;
        response_stream response{request, sink};
        ASSERT_TRUE(response.on_head(stream_head));
        ASSERT_TRUE(response.on_data(begin + endless));
        std::size_t taken = 0;
        while (taken < 4 * config::max_event_bytes && response.on_data(endless)) {
            taken += endless.size();
        }
        EXPECT_LE(taken, config::max_event_bytes);
        EXPECT_EQ(sink.text, "");
    }
}

// Guards against comments that reach the caller within its response, and against a keep-alive comment that breaks a
// stream.
TEST(response_stream_test, comments_are_dropped) {
    entry_request request;
    request.stream = true;
    recording_sink sink;
    response_stream response{request, sink};
    ASSERT_TRUE(response.on_head(stream_head));
    ASSERT_TRUE(response.on_data(": keep-alive\n\n\n" + complete_stream() + ": end\n\n"));
    ASSERT_TRUE(response.on_end());
    response.finish();
    EXPECT_EQ(sink.text, complete_stream());
}

// Guards against streams that are broken off for a field that text/event-stream does not name, such as a new version of
// the weights: recipients ignore unknown fields.
TEST(response_stream_test, unknown_fields_are_forwarded_with_their_event) {
    const std::string event = "x-weights-version: 8\ndata: {\"choices\":[{\"delta\":{\"content\":\"t\"}}]}\n"
                              "vendor.note: a: b\n\n";
    for (std::size_t size = 1; size <= event.size(); ++size) {
        entry_request request;
        request.stream = true;
        recording_sink sink;
        response_stream response{request, sink};
        ASSERT_TRUE(response.on_head(stream_head));
        for (std::size_t position = 0; position < event.size(); position += size) {
            ASSERT_TRUE(response.on_data(event.substr(position, size))) << size;
        }
        EXPECT_EQ(response.tokens_sent(), 1U);
        EXPECT_EQ(sink.text, event) << size;
    }
}

// Guards against a stream that ends within an event and looks complete.
TEST(response_stream_test, an_incomplete_event_is_no_end) {
    entry_request request;
    request.stream = true;
    recording_sink sink;
    response_stream response{request, sink};
    ASSERT_TRUE(response.on_head(stream_head));
    ASSERT_TRUE(response.on_data(complete_stream() + "data: {"));
    EXPECT_FALSE(response.on_end());
}

// Guards against retries that multiply an overload.
TEST(retry_budget_test, allows_a_share_of_the_requests) {
    seeded_random random{5};
    retry_budget budget{random};
    while (budget.try_spend()) {
    }
    for (int i = 0; i < 100; ++i) {
        budget.record_request();
    }
    int retries = 0;
    while (budget.try_spend()) {
        ++retries;
    }
    EXPECT_NEAR(retries, 100 * config::retry_budget_share, 1);
    for (std::uint32_t retry = 1; retry < 40; ++retry) {
        EXPECT_LE(budget.backoff(retry), config::retry_backoff_cap);
    }
}

// Guards against a proof of "not run" when the last attempt or an earlier attempt may have run. The test covers each
// state in which an attempt may have run.
TEST(attempt_log_test, gives_a_proof_only_when_nothing_may_have_run) {
    attempt_log log;
    EXPECT_TRUE(log.proof());
    log.record_reserved({1, 1});
    EXPECT_TRUE(log.proof());
    log.record_sent();
    EXPECT_FALSE(log.proof());
    log.record_refused({1, 2});
    EXPECT_FALSE(log.proof());
    for (const auto state : {inner::ticket_state::running, inner::ticket_state::completed, inner::ticket_state::started,
                             inner::ticket_state::unknown}) {
        log.record_ticket_state(state);
        EXPECT_FALSE(log.proof());
    }
    log.record_reserved({1, 3});
    log.record_sent();
    log.record_refused({1, 3});
    EXPECT_FALSE(log.proof());
}

} // namespace
} // namespace pomelohoist
