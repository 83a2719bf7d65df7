#include "agent/endpoint_driver.h"
#include "agent/http_call.h"

#include <Poco/String.h>

namespace pomelohoist {

namespace {

constexpr std::string_view event_stream_type = "text/event-stream";
constexpr std::string_view end_mark = "data: [DONE]";
// The end mark may be followed by line ends and may be split over several reads.
constexpr std::size_t tail_bytes = 64;

/// Forwards the response and keeps the last bytes of an event stream to find its end mark.
class stream_end_check : public endpoint_sink {
  public:
    explicit stream_end_check(endpoint_sink& receiver) : next(receiver) {}

    void on_send() override { this->next.on_send(); }

    bool on_head(std::uint16_t status, const std::vector<inner::header_field>& headers) override {
        for (const inner::header_field& header : headers) {
            if (Poco::icompare(header.name, "content-type") == 0) {
                this->is_event_stream = header.value.rfind(event_stream_type, 0) == 0;
            }
        }
        return this->next.on_head(status, headers);
    }

    bool on_data(std::string_view data) override {
        if (this->is_event_stream) {
            this->tail += data.substr(data.size() > tail_bytes ? data.size() - tail_bytes : 0);
            this->tail.erase(0, this->tail.size() > tail_bytes ? this->tail.size() - tail_bytes : 0);
        }
        return this->next.on_data(data);
    }

    [[nodiscard]] bool is_complete() const {
        return !this->is_event_stream || this->tail.find(end_mark) != std::string::npos;
    }

  private:
    endpoint_sink& next;
    bool is_event_stream{false};
    std::string tail;
};

class model_driver : public endpoint_driver {
  public:
    explicit model_driver(net_address endpoint_address) : target(std::move(endpoint_address)) {}

    endpoint_report run(const endpoint_request& request, endpoint_sink& sink, abort_signal& signal) override {
        stream_end_check checked_sink{sink};
        endpoint_report report = run_http(this->target, request, checked_sink, signal);
        if (report.outcome == run_outcome::completed && !checked_sink.is_complete()) {
            return {run_outcome::broken, "the event stream ended without its end mark"};
        }
        return report;
    }

    result<endpoint_health> check_health() override { return check_http_health(this->target); }

  private:
    net_address target;
};

} // namespace

std::unique_ptr<endpoint_driver> make_model_driver(const net_address& target) {
    return std::make_unique<model_driver>(target);
}

} // namespace pomelohoist
