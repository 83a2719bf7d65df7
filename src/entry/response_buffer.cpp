#include "entry/response_buffer.h"

#include <pomelohoist/config.h>

#include <Poco/String.h>

namespace pomelohoist {

result<done> response_buffer::on_head(const inner::run_head& head) {
    this->response.http_status = head.http_status;
    for (const inner::header_field& field : head.headers) {
        if (Poco::icompare(field.name, "content-type") == 0) {
            this->response.content_type = field.value;
        }
    }
    return done{};
}

result<done> response_buffer::on_data(const std::string& data) {
    if (this->response.body.size() + data.size() > config::max_response_bytes) {
        return failure{error_kind::endpoint_failed, "the answer is too large to be kept"};
    }
    this->response.body += data;
    return done{};
}

} // namespace pomelohoist
