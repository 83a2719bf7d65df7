#include "entry/response_stream.h"

#include "http/connection_fields.h"

#include <pomelohoist/config.h>

#include <Poco/String.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::uint16_t http_ok = 200;

bool is_event_stream(const inner::run_head& head) {
    return std::any_of(head.headers.begin(), head.headers.end(), [](const inner::header_field& field) {
        return Poco::icompare(field.name, "content-type") == 0 &&
               Poco::toLower(field.value).starts_with("text/event-stream");
    });
}

} // namespace

response_stream::response_stream(const entry_request& caller_request, response_sink& caller)
    : request(caller_request), sink(caller) {}

void response_stream::begin_attempt() {
    this->received_head = {};
    this->pending.clear();
    this->events.reset();
    this->bytes_without_data = 0;
    this->streaming = false;
    this->closing = false;
    this->attempt_has_text = false;
    this->attempt_resumes = this->begun;
}

result<done> response_stream::on_head(const inner::run_head& head) {
    this->received_head = head;
    this->streaming = this->request.stream && is_event_stream(head);
    if (this->begun && (!this->streaming || head.http_status != http_ok)) {
        return failure{error_kind::endpoint_failed, "the stream could not be resumed"};
    }
    return done{};
}

result<done> response_stream::on_data(const std::string& data) {
    if (!this->streaming) {
        this->pending += data;
        if (this->pending.size() > config::max_response_bytes) {
            return failure{error_kind::endpoint_failed, "the answer is too large to be checked as a whole"};
        }
        return done{};
    }
    // Only complete events are forwarded, so that a resumed stream continues between two events.
    this->events.append(data);
    while (const std::optional<stream_event> event = this->events.next()) {
        result<done> handled = this->handle_event(*event);
        if (!handled) {
            return handled;
        }
    }
    if (this->events.is_malformed()) {
        return failure{error_kind::endpoint_failed, "the stream contains bytes that are no event"};
    }
    return done{};
}

result<done> response_stream::on_end() {
    if (this->streaming && !this->events.incomplete_event().empty()) {
        return failure{error_kind::endpoint_failed, "the stream ended within an event"};
    }
    return done{};
}

result<done> response_stream::handle_event(const stream_event& event) {
    if (!event.data) {
        // A recipient ignores unknown fields, but an event with nothing else is more likely another protocol's text.
        if (event.has_extension) {
            return failure{error_kind::endpoint_failed, "an event of the stream has unknown fields and no data"};
        }
        // Comments keep a connection alive; they and blank lines are not forwarded.
        this->bytes_without_data += event.bytes.size();
        if (this->bytes_without_data > config::max_event_bytes) {
            return failure{error_kind::endpoint_failed, "the stream contains no events"};
        }
        return done{};
    }
    this->bytes_without_data = 0;
    const stream_event_kind kind = kind_of_event(*event.data);
    if (kind == stream_event_kind::unknown) {
        return failure{error_kind::endpoint_failed, "an event of the stream is no part of a response"};
    }
    if (kind == stream_event_kind::error) {
        return failure{error_kind::endpoint_failed, "the engine reported an error in the stream"};
    }
    if (kind == stream_event_kind::closing || this->closing) {
        // Closing events are held back until the end record: without that record the caller must not see a normal end.
        this->closing = true;
        this->pending += event.bytes;
        if (this->pending.size() > config::max_event_bytes) {
            return failure{error_kind::endpoint_failed, "the stream goes on behind its end"};
        }
        return done{};
    }
    if (kind == stream_event_kind::opening && this->begun && !this->attempt_has_text && this->attempt_resumes) {
        // The caller has already received the opening events of the first attempt.
        return done{};
    }
    this->attempt_has_text = this->attempt_has_text || kind == stream_event_kind::text;
    result<done> sent = this->send_event(event.bytes);
    this->tokens += kind == stream_event_kind::text ? 1 : 0;
    return sent;
}

result<done> response_stream::send_event(const std::string& event) {
    if (!this->begun) {
        this->sink.begin_stream(this->received_head.http_status,
                                response_fields(this->received_head.headers, this->request.method == "HEAD"));
        this->begun = true;
    }
    return this->send_piece(event);
}

result<done> response_stream::send_piece(const std::string& piece) {
    if (this->caller_disconnected) {
        return done{};
    }
    this->caller_disconnected = !this->sink.send_piece(piece);
    // A non-idempotent run continues after its caller disconnects: aborting it would leave the outcome unknown.
    if (this->caller_disconnected && this->request.idempotent) {
        return failure{error_kind::unreachable, "the caller is gone"};
    }
    return done{};
}

void response_stream::finish() {
    if (!this->begun && !this->streaming) {
        this->sink.send_response({this->received_head.http_status,
                                  response_fields(this->received_head.headers, this->request.method == "HEAD"),
                                  std::move(this->pending)});
        return;
    }
    if (!this->begun) {
        this->sink.begin_stream(this->received_head.http_status,
                                response_fields(this->received_head.headers, this->request.method == "HEAD"));
        this->begun = true;
    }
    if (!this->pending.empty()) {
        this->send_piece(this->pending);
    }
    this->sink.end_stream();
}

void response_stream::fail(const request_failure& failed) {
    if (!this->begun) {
        this->sink.send_failure(failed);
        return;
    }
    this->send_piece(make_error_event(failed));
    this->sink.end_stream();
}

} // namespace pomelohoist
