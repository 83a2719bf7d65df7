#include "common/span_json.h"
#include "http/http_client.h"

#include <Poco/URI.h>

#include <condition_variable>
#include <deque>
#include <iterator>
#include <mutex>
#include <thread>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::size_t max_queued_spans = 4096;
constexpr std::size_t max_batch_spans = 256;
constexpr std::chrono::milliseconds batch_interval{500};
constexpr call_limits collector_limits{std::chrono::seconds{1}, std::chrono::seconds{2}, 64U << 10U};

class http_span_exporter : public span_exporter {
  public:
    http_span_exporter(std::string service_name, const std::string& url, const clock& time_source)
        : service(std::move(service_name)), target(url), time(time_source), sender([this] { this->send_loop(); }) {}

    ~http_span_exporter() override {
        {
            const std::lock_guard lock{this->mutex};
            this->stopping = true;
        }
        this->changed.notify_all();
        this->sender.join();
    }

    http_span_exporter(const http_span_exporter&) = delete;
    http_span_exporter& operator=(const http_span_exporter&) = delete;

    // Drops the span when the queue is full, so that requests never wait for the collector.
    void export_span(const span_record& finished) override {
        const std::lock_guard lock{this->mutex};
        if (this->queue.size() < max_queued_spans) {
            this->queue.push_back(finished);
        }
        if (this->queue.size() >= max_batch_spans) {
            this->changed.notify_all();
        }
    }

  private:
    void send_loop() {
        std::unique_lock lock{this->mutex};
        while (true) {
            this->changed.wait_for(lock, batch_interval,
                                   [this] { return this->stopping || this->queue.size() >= max_batch_spans; });
            const bool was_stopping = this->stopping;
            const std::vector<span_record> batch = this->extract_batch();
            lock.unlock();
            const bool sent = batch.empty() || this->post(batch);
            lock.lock();
            // On shutdown, the loop ends when the queue is empty or a batch could not be sent.
            if (was_stopping && (this->queue.empty() || !sent)) {
                return;
            }
        }
    }

    std::vector<span_record> extract_batch() {
        const std::size_t number = std::min(this->queue.size(), max_batch_spans);
        const auto end = this->queue.begin() + static_cast<std::ptrdiff_t>(number);
        std::vector<span_record> batch{std::make_move_iterator(this->queue.begin()), std::make_move_iterator(end)};
        this->queue.erase(this->queue.begin(), end);
        return batch;
    }

    bool post(const std::vector<span_record>& batch) {
        http_client client{{this->target.getHost(), this->target.getPort()}, this->time};
        const std::string path = this->target.getPathAndQuery().empty() ? "/" : this->target.getPathAndQuery();
        return client.call({"POST", path, spans_to_json(this->service, batch), "application/json"}, collector_limits)
            .has_value();
    }

    std::string service;
    Poco::URI target;
    const clock& time;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<span_record> queue;
    bool stopping{false};
    std::thread sender;
};

} // namespace

std::unique_ptr<span_exporter> make_http_span_exporter(const std::string& service_name, const std::string& url,
                                                       const clock& time_source) {
    return std::make_unique<http_span_exporter>(service_name, url, time_source);
}

} // namespace pomelohoist
