#include "lock_step.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

namespace standin {

namespace {

using nlohmann::json;
using pomelohoist::expert_map;

constexpr std::chrono::milliseconds barrier_wait{50};
constexpr std::uint32_t retry_ms = 2;
constexpr int exchange_timeout_s = 1;
constexpr int http_ok = 200;
constexpr double usual_tokens = 10.0;
constexpr double popular_tokens = 400.0;
constexpr std::uint32_t popular_experts = 2;
constexpr double ms_per_token = 0.01;

} // namespace

bool step_barrier::arrive(std::uint32_t rank, std::uint64_t steps) {
    std::unique_lock lock{this->mutex};
    if (rank >= this->started.size()) {
        return false;
    }
    this->started[rank] = std::max(this->started[rank], steps);
    this->arrived.notify_all();
    return this->arrived.wait_for(lock, barrier_wait, [this, steps] {
        return std::all_of(this->started.begin(), this->started.end(),
                           [steps](std::uint64_t count) { return count >= steps; });
    });
}

lock_step::lock_step(rank_options initial_options)
    : options(std::move(initial_options)), journal(this->options.journal, std::ios::app) {}

lock_step::~lock_step() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stopped.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void lock_step::start(const rank_peers& peer_addresses) {
    const std::lock_guard lock{this->mutex};
    if (!this->thread.joinable()) {
        this->peers = peer_addresses;
        this->thread = std::thread{[this] { this->loop(); }};
    }
}

bool lock_step::pause(std::uint32_t milliseconds) {
    std::unique_lock lock{this->mutex};
    return !this->stopped.wait_for(lock, std::chrono::milliseconds{milliseconds}, [this] { return this->stopping; });
}

void lock_step::loop() {
    while (true) {
        const bool ready = this->is_ready();
        // A rank that is not ready queries its agent as well, because the agent may have restarted.
        const std::optional<granted_map> granted = this->query_agent(ready);
        const bool starts = ready && granted && this->load_map(*granted);
        if (starts) {
            this->run_step(*granted);
        }
        if (!this->pause(starts ? this->options.step_ms : retry_ms)) {
            return;
        }
    }
}

bool lock_step::is_ready() {
    if (this->step == 0) {
        return true;
    }
    const json body{{"rank", this->options.rank}, {"steps", this->step}};
    return this->send(this->root_session, this->peers.root, "POST", "/barrier", body.dump()).status == http_ok;
}

std::optional<granted_map> lock_step::query_agent(bool ready) {
    json body{{"step", this->step}, {"is_ready", ready}};
    if (this->running) {
        body["last"] = {{"map_version", this->running->version},
                        {"map_digest", this->running->digest},
                        {"from_step", this->running->from_step},
                        {"time_ms", this->time_ms},
                        {"tokens", this->tokens}};
    }
    const http_result response = this->send(this->agent_session, this->peers.agent, "POST", "/step", body.dump());
    try {
        const json content = response.status == 0 ? json::object() : json::parse(response.body);
        if (content.value("needs_map", false) && this->map) {
            const std::vector<std::uint32_t> slots{this->map->slots().begin(), this->map->slots().end()};
            const json upload{{"version", this->map->version()}, {"slots", slots}};
            this->send(this->agent_session, this->peers.agent, "POST", "/map", upload.dump());
        }
        if (response.status != http_ok) {
            return std::nullopt;
        }
        return granted_map{content.at("map_version").get<std::uint64_t>(), content.at("map_digest").get<std::string>(),
                           content.at("from_step").get<std::uint64_t>()};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

bool lock_step::load_map(const granted_map& granted) {
    if (this->map && this->loaded == granted) {
        return true;
    }
    const std::string path = "/map?version=" + std::to_string(granted.version) + "&digest=" + granted.digest;
    const http_result response = this->send(this->agent_session, this->peers.agent, "GET", path, "");
    if (response.status != http_ok) {
        return false;
    }
    try {
        const auto read = expert_map::make(this->options.shape, granted.version,
                                           json::parse(response.body).at("slots").get<std::vector<std::uint32_t>>());
        if (!read) {
            return false;
        }
        this->map = *read;
        this->loaded = granted;
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

std::vector<double> lock_step::popularity() const {
    const std::uint32_t experts = this->options.shape.experts;
    std::vector<double> counts(this->options.shape.cells(), usual_tokens);
    for (std::uint32_t layer = 0; layer < this->options.shape.layers; ++layer) {
        for (std::uint32_t i = 0; i < popular_experts; ++i) {
            const std::uint64_t popular = 3 * (this->step / this->options.shift_steps) + layer + i;
            counts[std::size_t{layer} * experts + popular % experts] = popular_tokens;
        }
    }
    return counts;
}

std::vector<double> lock_step::slot_tokens(const std::vector<double>& popular) const {
    const pomelohoist::expert_shape& shape = this->options.shape;
    std::vector<double> counts;
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
        for (std::uint32_t slot = 0; slot < shape.slots_per_rank; ++slot) {
            const std::uint32_t expert = this->map->expert_at(layer, this->options.rank, slot);
            std::uint32_t replicas = 0;
            for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
                replicas += this->map->holds(layer, rank, expert) ? 1 : 0;
            }
            const bool is_empty = expert == pomelohoist::no_expert;
            counts.push_back(is_empty ? 0.0 : popular[std::size_t{layer} * shape.experts + expert] / replicas);
        }
    }
    return counts;
}

void lock_step::run_step(const granted_map& used) {
    this->journal << this->step << ' ' << used.version << ' ' << used.digest << std::endl;
    const std::vector<double> popular = this->popularity();
    this->time_ms = 1.0 + ms_per_token * pomelohoist::rank_loads(*this->map, popular)[this->options.rank];
    this->tokens = this->slot_tokens(popular);
    this->running = used;
    ++this->step;
}

lock_step::http_result lock_step::send(std::unique_ptr<Poco::Net::HTTPClientSession>& session,
                                       const pomelohoist::net_address& target, const std::string& method,
                                       const std::string& path, const std::string& body) {
    try {
        if (!session) {
            session = std::make_unique<Poco::Net::HTTPClientSession>(target.ip, target.port);
            session->setKeepAlive(true);
            session->setTimeout(Poco::Timespan{exchange_timeout_s, 0});
        }
        Poco::Net::HTTPRequest request{method, path, Poco::Net::HTTPMessage::HTTP_1_1};
        request.setKeepAlive(true);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session->sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        http_result result;
        Poco::StreamCopier::copyToString(session->receiveResponse(response), result.body);
        result.status = response.getStatus();
        // POCO sends header and body in separate packets. Without TCP_NODELAY the body waits some 40 ms for a delayed
        // acknowledgement.
        session->socket().setNoDelay(true);
        return result;
    } catch (const Poco::Exception&) {
        // The connection is not reused, so that a late response is never matched to a later request.
        session.reset();
        return {};
    }
}

} // namespace standin
