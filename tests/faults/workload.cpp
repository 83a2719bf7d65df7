#include "faults/workload.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#include <chrono>
#include <fstream>
#include <utility>

namespace pomelohoist::faults {

namespace {

using namespace std::chrono_literals;
using namespace test_support;

constexpr std::uint16_t status_ok = 200;
constexpr int max_sends = 6;
constexpr auto retry_pause = 150ms;
constexpr auto call_pause = 5ms;
constexpr auto probe_interval = 50ms;
constexpr auto probe_timeout = 1s;
constexpr auto call_timeout = 15s;
constexpr std::uint64_t booking_share = 2; ///< one in this many requests is a booking
constexpr std::uint64_t keyless_share = 4; ///< one in this many bookings has no key

std::string sha256_of(const std::string& text) {
    Poco::SHA2Engine engine{Poco::SHA2Engine::SHA_256};
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool is_refused_connection(const http_response& response) {
    const auto reason = response.headers.find("incomplete");
    return response.status == 0 && reason != response.headers.end() &&
           reason->second.find("refused") != std::string::npos;
}

/// @returns true when the caller can see that the response is incomplete
bool is_visibly_broken(const http_response& response) {
    return !response.complete || response.body.find("event: error") != std::string::npos;
}

} // namespace

workload::workload(std::vector<net_address> entries, workload_options initial_options,
                   std::vector<std::string> journals)
    : targets(std::move(entries)), options(std::move(initial_options)), journal_files(std::move(journals)) {}

workload::~workload() {
    this->stopping = true;
    for (std::thread& thread : this->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void workload::start() {
    this->ready_entries = this->targets;
    if (this->strict) {
        this->threads.emplace_back([this] { this->probe_loop(); });
    }
    for (std::uint32_t i = 0; i < this->options.callers; ++i) {
        this->threads.emplace_back([this, i] { this->caller_loop(i); });
    }
}

workload_report workload::stop() {
    this->stopping = true;
    for (std::thread& thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
    workload_report report = this->numbers;
    this->check_counts(report);
    return report;
}

void workload::caller_loop(std::uint32_t number) {
    std::mt19937_64 random{this->options.seed * 1000 + number};
    const std::string prefix = std::to_string(this->options.seed) + "-" + std::to_string(number) + "-";
    for (std::uint64_t i = 0; !this->stopping; ++i) {
        std::string id = prefix;
        id += std::to_string(i);
        if (this->options.with_bookings && random() % booking_share == 0) {
            this->send_booking(random, id);
        } else {
            this->send_draft(random, id);
        }
        std::this_thread::sleep_for(call_pause);
    }
}

void workload::probe_loop() {
    while (!this->stopping) {
        std::vector<net_address> ready;
        for (const net_address& entry : this->targets) {
            http_request request;
            request.path = "/readyz";
            request.timeout = probe_timeout;
            if (send_http(entry, request).status == status_ok) {
                ready.push_back(entry);
            }
        }
        {
            const std::lock_guard lock{this->mutex};
            this->ready_entries = std::move(ready);
        }
        std::this_thread::sleep_for(probe_interval);
    }
}

net_address workload::choose_entry(std::mt19937_64& random) {
    const std::lock_guard lock{this->mutex};
    const std::vector<net_address>& candidates = this->ready_entries.empty() ? this->targets : this->ready_entries;
    return candidates.at(random() % candidates.size());
}

http_response workload::send_once(std::mt19937_64& random, http_request request, const std::string& id) {
    request.headers["X-Request-Id"] = id;
    request.timeout = call_timeout;
    http_response response = send_http(this->choose_entry(random), request);
    this->record_response(id, response);
    if (this->strict && !is_refused_connection(response) && !response.complete) {
        const auto reason = response.headers.find("incomplete");
        this->add_violation("incomplete response although all stops were graceful: " + id + ", status " +
                            std::to_string(response.status) + ", " + std::to_string(response.body.size()) + " bytes, " +
                            (reason == response.headers.end() ? "" : reason->second));
    }
    return response;
}

void workload::record_response(const std::string& id, const http_response& response) {
    const std::lock_guard lock{this->mutex};
    ++this->numbers.sends;
    if (says_not_run(response)) {
        ++this->numbers.not_run_responses;
        this->not_run_ids.push_back(id);
    }
    if (error_kind_of(response) == "outcome_unknown") {
        ++this->numbers.outcome_unknown_responses;
    }
}

void workload::send_draft(std::mt19937_64& random, const std::string& id) {
    const draft call{this->options.workspace_key, this->options.model, "drafts", "prompt of " + id,
                     this->options.draft_tokens,  random() % 2 == 0,   ""};
    const std::string expected = expected_content(call);
    for (int send = 0; send < max_sends; ++send) {
        const http_response response = this->send_once(random, to_request(call), id + "-s" + std::to_string(send));
        const bool is_full = is_full_response(call, response);
        const std::string content = response.status == status_ok ? response_content(response, call.stream) : "";
        if (expected.rfind(content, 0) != 0) {
            std::string text = "wrong or mixed response: " + id + " got ";
            this->add_violation(text += content);
        }
        if (response.status == status_ok && !is_full && !is_visibly_broken(response)) {
            this->add_violation("silently truncated response: " + id);
        }
        if (is_full || this->stopping) {
            const std::lock_guard lock{this->mutex};
            ++this->numbers.drafts;
            this->numbers.complete_drafts += is_full && send == 0 ? 1 : 0;
            return;
        }
        std::this_thread::sleep_for(retry_pause);
    }
    const std::lock_guard lock{this->mutex};
    ++this->numbers.drafts;
}

void workload::send_booking(std::mt19937_64& random, const std::string& id) {
    http_request request;
    request.method = "POST";
    request.path = "/services/" + this->options.service + "/bookings";
    request.headers = {{"Authorization", "Bearer " + this->options.workspace_key},
                       {"X-Pomelohoist-Application", "bookings"}};
    request.body = "booking " + id;
    const bool has_key = random() % keyless_share != 0;
    if (has_key) {
        request.headers["Idempotency-Key"] = id;
    }
    {
        const std::lock_guard lock{this->mutex};
        ++this->numbers.bookings;
    }
    // Without an idempotency key a retry cannot be recognised, so the caller sends the request once.
    const int sends = has_key ? max_sends : 1;
    bool last_says_not_run = false;
    for (int send = 0; send < sends; ++send) {
        const std::string send_id = id + "-s" + std::to_string(send);
        const http_response response = this->send_once(random, request, send_id);
        if (response.status == status_ok && response.complete) {
            if (response.body.find(sha256_of(request.body)) == std::string::npos) {
                this->add_violation("wrong or mixed response to a booking: " + id + " got " + response.body);
            }
            const std::lock_guard lock{this->mutex};
            ++this->numbers.completed_bookings;
            (has_key ? this->completed_keys : this->completed_ids).push_back(has_key ? id : send_id);
            return;
        }
        last_says_not_run = says_not_run(response);
        if (error_kind_of(response) == "outcome_unknown") {
            return;
        }
        std::this_thread::sleep_for(retry_pause);
    }
    if (has_key && last_says_not_run) {
        const std::lock_guard lock{this->mutex};
        this->not_run_keys.push_back(id);
    }
}

void workload::add_violation(const std::string& text) {
    const std::lock_guard lock{this->mutex};
    this->numbers.violations.push_back(text);
}

void workload::check_counts(workload_report& report) const {
    std::map<std::string, std::map<std::string, std::uint64_t>> counts;
    for (const std::string& file : this->journal_files) {
        std::ifstream lines{file};
        std::string table;
        std::string name;
        while (lines >> table >> name) {
            ++counts[table][name];
        }
    }
    for (const auto& [key, number] : counts["keys"]) {
        if (number > 1) {
            report.violations.push_back("booking ran " + std::to_string(number) + " times: " + key);
        }
    }
    for (const auto& [id, number] : counts["requests"]) {
        if (number > 1) {
            report.violations.push_back("one send ran " + std::to_string(number) + " times: " + id);
        }
    }
    for (const std::string& key : this->completed_keys) {
        if (counts["keys"][key] != 1) {
            report.violations.push_back("booking with a successful response did not run: " + key);
        }
    }
    for (const std::string& id : this->completed_ids) {
        if (counts["requests"][id] != 1) {
            report.violations.push_back("booking with a successful response did not run: " + id);
        }
    }
    for (const std::string& key : this->not_run_keys) {
        if (counts["keys"][key] != 0) {
            report.violations.push_back("booking reported as not run, but an earlier send ran: " + key);
        }
    }
    for (const std::string& id : this->not_run_ids) {
        if (counts["requests"][id] != 0 || counts["started"][id] != 0) {
            report.violations.push_back("reported as not run, but it ran: " + id);
        }
    }
}

} // namespace pomelohoist::faults
