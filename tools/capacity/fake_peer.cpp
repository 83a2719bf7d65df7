#include "capacity/fake_peer.h"

#include "capacity/cluster.h"
#include "platform/http_platform.h"
#include "spread/configuration_commit.h"

#include <chrono>
#include <optional>
#include <stdexcept>
#include <utility>

namespace pomelohoist::capacity {

namespace {

constexpr std::chrono::milliseconds announce_timeout{300};

} // namespace

fake_peer::fake_peer() : listener({"127.0.0.1", 0}, "capacity-peer", this->time) {
    this->listener.start(*this, *this);
}

fake_peer::~fake_peer() {
    this->listener.stop();
}

void fake_peer::load_from(const net_address& platform) {
    http_platform client{platform, this->time};
    configuration_commit reader{client, client};
    if (this->version() > 0) {
        const result<std::vector<configuration_delta>> deltas = reader.read_deltas(this->version());
        if (!deltas || !this->state.apply_deltas(*deltas)) {
            throw std::runtime_error("the deltas cannot be read");
        }
        return;
    }
    result<configuration> newest = reader.read_newest();
    if (!newest) {
        throw std::runtime_error("the configuration cannot be read: " + newest.last_error().reason);
    }
    this->state.apply_configuration(std::move(*newest));
}

void fake_peer::announce_to(const net_address& process) {
    inner::call_datagram<inner::announce_response>(
        this->calls(), process, inner::announce{this->address(), "dc-1", this->version(), 0}, announce_timeout);
}

void fake_peer::publish_newest(const net_address& platform, const std::vector<net_address>& processes) {
    this->load_from(platform);
    for (const net_address& process : processes) {
        this->announce_to(process);
    }
    wait_for_version(processes, this->version());
}

void fake_peer::publish_next(const std::vector<net_address>& processes, bool as_snapshot) {
    const std::uint64_t next = this->version() + 1;
    const std::string key = "label.step";
    const object_key changed{object_kind::workspace, "team"};
    const configuration_ptr before = this->state.current();
    const auto& values = before->objects().at(changed).values;
    const auto field = values.find(key);
    const std::optional<std::string> expected = field == values.end() ? std::nullopt : std::optional{field->second};
    const configuration_delta delta{next,
                                    {"step-" + std::to_string(next), {{changed, key, expected, std::to_string(next)}}}};
    if (as_snapshot) {
        result<configuration> applied = before->apply(delta);
        if (!applied) {
            throw std::runtime_error("the delta is refused: " + applied.last_error().reason);
        }
        // A configuration without deltas from an earlier version is served as a snapshot.
        this->state.apply_configuration(std::move(*applied));
    } else if (!this->state.apply_deltas({delta})) {
        throw std::runtime_error("the delta is refused");
    }
    for (const net_address& process : processes) {
        this->announce_to(process);
    }
    wait_for_version(processes, next);
}

inner::payload fake_peer::handle_datagram(const inner::packet& request) {
    if (request.type != inner::message_type::announce) {
        return inner::to_payload(inner::failure_response{error_kind::not_found, "not served"});
    }
    return inner::to_payload(inner::announce_response{this->version(), 0});
}

void fake_peer::handle_stream(const inner::packet& first, inner::frame_channel& channel) {
    const auto received = inner::decode_body<inner::pull_request>(first);
    if (received) {
        channel.send(this->state.serve_pull(*received));
    }
}

} // namespace pomelohoist::capacity
