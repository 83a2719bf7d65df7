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
constexpr auto resend_pause = 150ms;
constexpr auto call_pause = 5ms;
constexpr auto probe_interval = 50ms;
constexpr auto probe_timeout = 1s;
constexpr auto call_timeout = 15s;
constexpr std::uint64_t booking_share = 2; ///< one in so many requests is a booking
constexpr std::uint64_t keyless_share = 4; ///< one in so many bookings has no key

std::string sha256_of(const std::string& text) {
    Poco::SHA2Engine engine{Poco::SHA2Engine::SHA_256};
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool is_refused_connection(const http_response& answer) {
    const auto reason = answer.headers.find("incomplete");
    return answer.status == 0 && reason != answer.headers.end() && reason->second.find("refused") != std::string::npos;
}

/// @returns true when the caller can see that the stream is not whole
bool is_visibly_broken(const http_response& answer) {
    return !answer.complete || answer.body.find("event: error") != std::string::npos;
}

} // namespace

workload::workload(std::vector<net_address> entries, workload_options chosen, std::vector<std::string> journals)
    : targets(std::move(entries)), options(std::move(chosen)), journal_files(std::move(journals)) {}

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
    const std::vector<net_address>& known = this->ready_entries.empty() ? this->targets : this->ready_entries;
    return known.at(random() % known.size());
}

http_response workload::send_once(std::mt19937_64& random, http_request request, const std::string& id) {
    request.headers["X-Request-Id"] = id;
    request.timeout = call_timeout;
    http_response answer = send_http(this->choose_entry(random), request);
    this->note_answer(id, answer);
    if (this->strict && !is_refused_connection(answer) && !answer.complete) {
        const auto reason = answer.headers.find("incomplete");
        this->violate("cut although nothing but a graceful stop happened: " + id + ", status " +
                      std::to_string(answer.status) + ", " + std::to_string(answer.body.size()) + " bytes, " +
                      (reason == answer.headers.end() ? "" : reason->second));
    }
    return answer;
}

void workload::note_answer(const std::string& id, const http_response& answer) {
    const std::lock_guard lock{this->mutex};
    ++this->numbers.sends;
    if (says_not_run(answer)) {
        ++this->numbers.not_run_answers;
        this->not_run_ids.push_back(id);
    }
    if (error_kind_of(answer) == "outcome_unknown") {
        ++this->numbers.outcome_unknown_answers;
    }
}

void workload::send_draft(std::mt19937_64& random, const std::string& id) {
    const draft call{this->options.workspace_key, this->options.model, "drafts", "prompt of " + id,
                     this->options.draft_tokens,  random() % 2 == 0,   ""};
    const std::string wanted = standin_answer(call);
    for (int send = 0; send < max_sends; ++send) {
        const http_response answer = this->send_once(random, to_request(call), id + "-s" + std::to_string(send));
        const bool whole = is_whole_answer(call, answer);
        const std::string content = answer.status == status_ok ? answer_content(answer, call.stream) : "";
        if (wanted.rfind(content, 0) != 0) {
            std::string what = "wrong or mixed answer: " + id + " got ";
            this->violate(what += content);
        }
        if (answer.status == status_ok && !whole && !is_visibly_broken(answer)) {
            this->violate("silently short answer: " + id);
        }
        if (whole || this->stopping) {
            const std::lock_guard lock{this->mutex};
            ++this->numbers.drafts;
            this->numbers.whole_drafts += whole && send == 0 ? 1 : 0;
            return;
        }
        std::this_thread::sleep_for(resend_pause);
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
    // Without a key a resend cannot be recognised, so the caller sends once.
    const int sends = has_key ? max_sends : 1;
    bool last_says_not_run = false;
    for (int send = 0; send < sends; ++send) {
        const std::string send_id = id + "-s" + std::to_string(send);
        const http_response answer = this->send_once(random, request, send_id);
        if (answer.status == status_ok && answer.complete) {
            if (answer.body.find(sha256_of(request.body)) == std::string::npos) {
                this->violate("wrong or mixed booking answer: " + id + " got " + answer.body);
            }
            const std::lock_guard lock{this->mutex};
            ++this->numbers.answered_bookings;
            (has_key ? this->answered_keys : this->answered_ids).push_back(has_key ? id : send_id);
            return;
        }
        last_says_not_run = says_not_run(answer);
        if (error_kind_of(answer) == "outcome_unknown") {
            return;
        }
        std::this_thread::sleep_for(resend_pause);
    }
    if (has_key && last_says_not_run) {
        const std::lock_guard lock{this->mutex};
        this->not_run_keys.push_back(id);
    }
}

void workload::violate(const std::string& what) {
    const std::lock_guard lock{this->mutex};
    this->numbers.violations.push_back(what);
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
    for (const std::string& key : this->answered_keys) {
        if (counts["keys"][key] != 1) {
            report.violations.push_back("answered booking did not run: " + key);
        }
    }
    for (const std::string& id : this->answered_ids) {
        if (counts["requests"][id] != 1) {
            report.violations.push_back("answered booking did not run: " + id);
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
