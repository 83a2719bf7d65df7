#include "entry/http_response.h"

#include "http/body_framing.h"
#include "http/field_syntax.h"
#include "http/message_head.h"

#include <pomelohoist/config.h>

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Exception.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace pomelohoist {

namespace {

constexpr std::size_t max_joined_bytes = 65536; // a body up to this size is sent together with the head

std::string encode_chunk(const std::string& data) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

bool contains(const std::vector<inner::header_field>& headers, std::string_view name) {
    return std::any_of(headers.begin(), headers.end(),
                       [name](const inner::header_field& field) { return equals_ignoring_case(field.name, name); });
}

std::string format_date(wall_time now) {
    const auto since_epoch = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
    return Poco::DateTimeFormatter::format(Poco::Timestamp{since_epoch.count()}, Poco::DateTimeFormat::HTTP_FORMAT);
}

} // namespace

http_response::http_response(server_connection& caller, const std::string& request_method, const clock& time_source)
    : connection(caller), socket(caller.socket()), time(time_source), is_head_request(request_method == "HEAD"),
      writer(socket, time_source), deadline(time_source.now()) {}

http_response::~http_response() {
    if (this->is_stream_open) {
        this->disconnect();
    }
}

void http_response::add_header(const std::string& name, const std::string& value) {
    std::erase_if(this->own_headers,
                  [&name](const inner::header_field& field) { return equals_ignoring_case(field.name, name); });
    this->own_headers.push_back({name, value});
}

std::optional<std::string> http_response::encode_head(std::uint16_t http_status,
                                                      const std::vector<inner::header_field>& headers,
                                                      const std::optional<inner::header_field>& framing) {
    // Fields that the entry has set, such as the trace context, cover the full path from the caller to the endpoint,
    // so they take precedence over the endpoint's fields.
    std::vector<inner::header_field> all = this->own_headers;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(all),
                 [this](const inner::header_field& field) { return !contains(this->own_headers, field.name); });
    if (!contains(all, "Date")) {
        all.push_back({"Date", format_date(this->time.wall_now())});
    }
    if (framing) {
        all.push_back(*framing);
    }
    all.push_back({"Connection", this->connection.stays_open() ? "Keep-Alive" : "Close"});
    result<std::string> head = encode_response_head(http_status, all);
    return head ? std::optional{std::move(*head)} : std::nullopt;
}

bool http_response::has_body(std::uint16_t http_status) const {
    return !this->is_head_request && !is_bodiless_status(http_status);
}

bool http_response::write(std::string_view bytes) {
    if (!this->is_lost &&
        !this->writer.write(bytes, {this->deadline, config::response_write_stall, config::response_write_extension})) {
        this->disconnect();
    }
    return !this->is_lost;
}

void http_response::disconnect() {
    this->is_lost = true;
    this->is_stream_open = false;
    this->connection.close_after_response();
    try {
        // A reset, because after an orderly close a truncated response without a length would look complete.
        this->socket.setLinger(true, 0);
        this->socket.close();
    } catch (const Poco::Exception&) {
        // The connection is already broken.
        return;
    }
}

void http_response::send_response(const full_response& response) {
    if (this->is_stream_open) {
        // A second head would be read as a part of the stream.
        this->disconnect();
        return;
    }
    const bool sends_body = this->has_body(response.http_status);
    // The length of a response to HEAD is that of the body which GET would have; only the endpoint knows it.
    std::optional<inner::header_field> length;
    if (sends_body) {
        length = {"Content-Length", std::to_string(response.body.size())};
    }
    std::optional<std::string> head = this->encode_head(response.http_status, response.headers, length);
    if (!head) {
        this->send_unwritable();
    } else if (!sends_body) {
        this->write(*head);
    } else if (response.body.size() <= max_joined_bytes) {
        this->write(*head += response.body);
    } else if (this->write(*head)) {
        this->write(response.body);
    }
}

void http_response::send_unwritable() {
    this->own_headers.clear();
    this->send_failure({{error_kind::internal, "the response has a field that cannot be written"}, std::nullopt, {}});
}

void http_response::begin_stream(std::uint16_t http_status, const std::vector<inner::header_field>& headers) {
    this->is_chunked = !this->connection.is_http_1_0();
    if (!this->is_chunked) {
        this->connection.close_after_response();
    }
    this->has_stream_body = this->has_body(http_status);
    const std::optional<std::string> head = this->encode_head(
        http_status, headers,
        this->is_chunked ? std::optional{inner::header_field{"Transfer-Encoding", "chunked"}} : std::nullopt);
    if (!head) {
        // What follows belongs to a response that was never begun.
        this->disconnect();
        return;
    }
    this->is_stream_open = true;
    this->write(*head);
}

bool http_response::send_piece(const std::string& data) {
    // An empty chunk would end the stream.
    if (!this->is_stream_open || data.empty()) {
        return this->is_stream_open;
    }
    if (!this->has_stream_body) {
        return !this->is_lost;
    }
    return this->write(this->is_chunked ? encode_chunk(data) : data);
}

void http_response::end_stream() {
    if (this->is_stream_open && this->has_stream_body && this->is_chunked) {
        this->write("0\r\n\r\n");
    }
    this->is_stream_open = false;
}

void http_response::send_failure(const request_failure& failed) {
    const error_response response = make_error_response(failed);
    std::vector<inner::header_field> headers{{"Content-Type", "application/json"}};
    if (response.retry_after_s != 0) {
        headers.push_back({"Retry-After", std::to_string(response.retry_after_s)});
    }
    this->send_response({response.http_status, headers, response.body});
}

bool http_response::is_disconnected() {
    try {
        return this->socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ) && this->socket.available() == 0;
    } catch (const Poco::Exception&) {
        return true;
    }
}

} // namespace pomelohoist
