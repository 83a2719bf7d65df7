#include "common/log.h"
#include "common/metrics.h"
#include "common/span.h"

#include "temporary_file.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>

#include <sstream>

namespace pomelohoist {
namespace {

using testing::HasSubstr;

std::string log_output(log_format format, const std::vector<log_field>& fields) {
    std::ostringstream stream;
    auto sink = std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_mt>(stream));
    structured_log log{sink, format, "entry-1"};
    log.info("request_done", fields);
    log.debug("not_written");
    return stream.str();
}

// Guards against field values that make the JSON of a line invalid or inject a further line.
TEST(log_test, json_lines_stay_valid) {
    const std::string line = log_output(log_format::json, {{"request_id", "r1"}, {"path", "a\"b\n\xff%v"}});
    const nlohmann::json json = nlohmann::json::parse(line);
    EXPECT_EQ(json["event"], "request_done");
    EXPECT_EQ(json["process"], "entry-1");
    EXPECT_EQ(json["level"], "info");
    EXPECT_EQ(json["request_id"], "r1");
    EXPECT_THAT(json["path"].get<std::string>(), HasSubstr("a\"b\n"));
}

TEST(log_test, text_quotes_values_with_spaces) {
    EXPECT_THAT(log_output(log_format::text, {{"request_id", "r1"}, {"reason", "a b"}}),
                HasSubstr("entry-1 request_done request_id=r1 reason=\"a b\""));
}

// Guards against quantiles that are off by more than a bin, and buckets that are not cumulative.
TEST(metrics_test, renders_prometheus_text) {
    metrics_registry metrics;
    metrics.get_counter("requests_total", "kind=\"a\"").add(3);
    metrics.get_counter("requests_total", "kind=\"b\"").add();
    metrics.add_gauge("queue_length", [] { return 7.0; });
    latency_histogram& latency = metrics.get_histogram("latency_ms");
    for (int i = 1; i <= 100; ++i) {
        latency.record(i);
    }
    latency.record(0.001);
    latency.record(1e9);
    const std::string text = metrics.render();
    EXPECT_THAT(text, HasSubstr("# TYPE pomelohoist_requests_total counter\n"
                                "pomelohoist_requests_total{kind=\"a\"} 3\n"
                                "pomelohoist_requests_total{kind=\"b\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("pomelohoist_queue_length 7\n"));
    EXPECT_THAT(text, HasSubstr("pomelohoist_latency_ms_bucket{le=\"+Inf\"} 102\n"));
    EXPECT_THAT(text, HasSubstr("pomelohoist_latency_ms_count 102\n"));
    EXPECT_THAT(text, HasSubstr("pomelohoist_latency_ms_bucket{le=\"0.1\"} 1\n"));
    EXPECT_GE(latency.quantile(0.5), 50.0);
    EXPECT_LE(latency.quantile(0.5), 50.0 * 1.34);
    EXPECT_EQ(latency_histogram{}.quantile(0.5), 0.0);
}

struct collector_factory : Poco::Net::HTTPRequestHandlerFactory {
    struct handler : Poco::Net::HTTPRequestHandler {
        explicit handler(collector_factory& target) : owner(target) {}
        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override {
            std::string body;
            Poco::StreamCopier::copyToString(request.stream(), body);
            {
                const std::lock_guard lock{this->owner.mutex};
                this->owner.bodies.push_back(body);
            }
            response.setContentLength(0);
            response.send();
        }
        collector_factory& owner;
    };
    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new handler{*this};
    }
    std::mutex mutex;
    std::vector<std::string> bodies;
};

void make_spans(span_exporter& exporter, int number) {
    const system_clock time;
    seeded_random random{1};
    const trace_context parent{"0123456789abcdef0123456789abcdef", "0123456789abcdef"};
    for (int i = 0; i < number; ++i) {
        scoped_span span{exporter, time, random, "reserve", parent};
        span.set("request_id", "r1");
        span.mark_failed("refused");
    }
}

const nlohmann::json& spans_of(const nlohmann::json& json) {
    return json["resourceSpans"][0]["scopeSpans"][0]["spans"];
}

TEST(span_test, file_holds_one_export_a_line) {
    const temporary_file file{""};
    const system_clock time;
    make_spans(*make_span_exporter("entry", file.path(), "", time), 2);
    std::ifstream stream{file.path()};
    std::string line;
    int lines = 0;
    while (std::getline(stream, line)) {
        const nlohmann::json json = nlohmann::json::parse(line);
        const nlohmann::json& span = spans_of(json)[0];
        EXPECT_EQ(span["traceId"], "0123456789abcdef0123456789abcdef");
        EXPECT_EQ(span["parentSpanId"], "0123456789abcdef");
        EXPECT_EQ(span["status"]["code"], 2);
        ++lines;
    }
    EXPECT_EQ(lines, 2);
}

// Guards against losing spans that are queued when the process exits before the next batch.
TEST(span_test, http_export_is_complete_at_the_end) {
    auto* factory = new collector_factory;
    Poco::Net::HTTPServer collector{Poco::Net::HTTPRequestHandlerFactory::Ptr{factory},
                                    Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}},
                                    new Poco::Net::HTTPServerParams};
    collector.start();
    const std::string url = "http://127.0.0.1:" + std::to_string(collector.port()) + "/v1/traces";
    const system_clock time;
    make_spans(*make_span_exporter("entry", "", url, time), 600);
    std::size_t received = 0;
    {
        const std::lock_guard lock{factory->mutex};
        for (const std::string& body : factory->bodies) {
            received += spans_of(nlohmann::json::parse(body)).size();
        }
    }
    EXPECT_EQ(received, 600U);
    collector.stopAll(true);
}

} // namespace
} // namespace pomelohoist
