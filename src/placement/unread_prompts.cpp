#include "placement/unread_prompts.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <limits>

namespace pomelohoist {

namespace {

// An endpoint reads between the token steps of its running requests, and may therefore need longer than its rate says.
constexpr double longest_reading_factor = 2.0;
constexpr std::uint32_t max_blocks = std::numeric_limits<std::uint16_t>::max();

std::chrono::microseconds time_to_read(std::uint64_t tokens, double tokens_per_s) {
    const std::chrono::duration<double> seconds{static_cast<double>(tokens) / tokens_per_s};
    return std::chrono::duration_cast<std::chrono::microseconds>(seconds);
}

std::chrono::microseconds longest_time_to_read(std::uint64_t tokens, double tokens_per_s) {
    return time_to_read(tokens, tokens_per_s / longest_reading_factor);
}

} // namespace

unread_prompts::prompt_id unread_prompts::begin(endpoint_digest endpoint, std::uint32_t tokens, double tokens_per_s) {
    const std::lock_guard lock{this->mutex};
    const prompt_id prompt = this->next_prompt++;
    if (tokens == 0 || !(tokens_per_s > 0.0)) {
        return prompt;
    }
    // The callers state the number of tokens, and more than a report can contain is not believed.
    const std::uint32_t counted = std::min(tokens, max_blocks * unread_load::block_tokens);
    // The endpoint reads the prompts that wait there first.
    const std::uint64_t waiting = this->tokens_at(endpoint, tokens_per_s);
    this->own[endpoint][prompt] = {counted, this->time.now() + longest_time_to_read(waiting + counted, tokens_per_s)};
    return prompt;
}

void unread_prompts::end(endpoint_digest endpoint, prompt_id prompt) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->own.find(endpoint);
    if (found != this->own.end() && found->second.erase(prompt) > 0 && found->second.empty()) {
        this->own.erase(found);
    }
}

std::uint64_t unread_prompts::tokens_at(endpoint_digest endpoint, double tokens_per_s) const {
    const steady_time now = this->time.now();
    std::uint64_t sum = 0;
    if (const auto found = this->own.find(endpoint); found != this->own.end()) {
        for (const auto& [prompt, unread] : found->second) {
            sum += now < unread.read_by ? unread.tokens : 0;
        }
    }
    if (const auto found = this->peers.find(endpoint); found != this->peers.end()) {
        for (const peer_prompts& unread : found->second) {
            const std::chrono::microseconds lifetime = std::min<std::chrono::microseconds>(
                longest_time_to_read(unread.tokens, tokens_per_s), config::peer_load_lifetime);
            sum += now < unread.reported_at + lifetime ? unread.tokens : 0;
        }
    }
    return sum;
}

std::chrono::microseconds unread_prompts::reading_time(endpoint_digest endpoint, double tokens_per_s) const {
    if (!(tokens_per_s > 0.0)) {
        return {};
    }
    const std::lock_guard lock{this->mutex};
    return time_to_read(this->tokens_at(endpoint, tokens_per_s), tokens_per_s);
}

void unread_prompts::remove_report(const std::string& peer, const peer_report& report) {
    for (const endpoint_digest endpoint : report.endpoints) {
        const auto found = this->peers.find(endpoint);
        if (found == this->peers.end()) {
            continue;
        }
        std::erase_if(found->second, [&peer](const peer_prompts& unread) { return unread.peer == peer; });
        if (found->second.empty()) {
            this->peers.erase(found);
        }
    }
}

void unread_prompts::set_peer_loads(const std::string& peer, const std::optional<std::vector<unread_load>>& loads) {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    // Also forgets the reports of entries that have stopped or become unreachable.
    std::erase_if(this->reports, [this, now, &peer](const auto& each) {
        const bool is_obsolete = each.first == peer || now >= each.second.reported_at + config::peer_load_lifetime;
        if (is_obsolete) {
            this->remove_report(each.first, each.second);
        }
        return is_obsolete;
    });
    if (!loads || loads->empty()) {
        return;
    }
    peer_report& report = this->reports[peer];
    report.reported_at = now;
    for (const unread_load& load : *loads) {
        report.endpoints.push_back(load.endpoint);
        this->peers[load.endpoint].push_back({peer, load.blocks * unread_load::block_tokens, now});
    }
}

std::optional<std::vector<unread_load>> unread_prompts::own_loads() const {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    std::vector<unread_load> loads;
    for (const auto& [endpoint, prompts] : this->own) {
        std::uint64_t tokens = 0;
        for (const auto& [prompt, unread] : prompts) {
            tokens += now < unread.read_by ? unread.tokens : 0;
        }
        const std::uint64_t blocks = (tokens + unread_load::block_tokens - 1) / unread_load::block_tokens;
        if (blocks > 0) {
            loads.push_back({endpoint, static_cast<std::uint16_t>(std::min<std::uint64_t>(blocks, max_blocks))});
        }
    }
    return loads.empty() ? std::nullopt : std::optional{std::move(loads)};
}

} // namespace pomelohoist
