#include "group/group_agent.h"

#include <chrono>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::chrono::milliseconds declaration_poll_interval{50};

using inner::message_type;
using inner::payload;

/// Decodes the request, calls the member's handler and encodes its response.
template <class Request, class Response> payload handle_request(group_member* member, const inner::packet& received,
                                                                Response (group_member::*handler)(const Request&)) {
    if (member == nullptr) {
        return to_payload(inner::failure_response{error_kind::not_ready, "the endpoint has no declared rank yet"});
    }
    const result<Request> request = inner::decode_body<Request>(received);
    if (!request) {
        return to_payload(inner::failure_response{request.last_error().kind, request.last_error().reason});
    }
    return to_payload((member->*handler)(*request));
}

} // namespace

group_agent::group_agent(const group_settings& options, std::string endpoint, std::uint64_t incarnation,
                         const member_parts& used_parts, inner::datagram_handler& next_datagrams,
                         inner::stream_handler& next_streams)
    : settings(options), endpoint_name(std::move(endpoint)), own_incarnation(incarnation), parts(used_parts),
      datagrams(next_datagrams), streams(next_streams),
      server(std::make_unique<step_server>(options.step_address, *this)), join_thread([this] { this->join_loop(); }) {}

group_agent::~group_agent() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stopped.notify_all();
    this->join_thread.join();
    this->server.reset();
}

void group_agent::join_loop() {
    std::unique_lock lock{this->mutex};
    while (!this->stopping && !this->joined) {
        lock.unlock();
        const bool is_joined = this->try_join();
        lock.lock();
        if (!is_joined) {
            this->stopped.wait_for(lock, declaration_poll_interval, [this] { return this->stopping; });
        }
    }
}

bool group_agent::try_join() {
    const std::optional<declared_position> position = find_position(this->parts.source, this->endpoint_name);
    if (!position || position->rank >= this->settings.shape.ranks) {
        return false;
    }
    const group_position own_position{position->group, position->rank, this->settings.shape.ranks,
                                      this->own_incarnation};
    auto member = std::make_shared<group_member>(own_position, this->settings, this->parts);
    const std::lock_guard lock{this->mutex};
    this->joined = std::move(member);
    return true;
}

std::shared_ptr<group_member> group_agent::member() {
    const std::lock_guard lock{this->mutex};
    return this->joined;
}

payload group_agent::handle_datagram(const inner::packet& request) {
    const std::shared_ptr<group_member> member = this->member();
    switch (request.type) {
    case message_type::switch_prepare:
        return handle_request(member.get(), request, &group_member::handle_prepare);
    case message_type::switch_query:
        return handle_request(member.get(), request, &group_member::handle_query);
    case message_type::switch_decision:
        return handle_request(member.get(), request, &group_member::handle_decision);
    default:
        return this->datagrams.handle_datagram(request);
    }
}

void group_agent::handle_stream(const inner::packet& first, inner::frame_channel& channel) {
    const std::shared_ptr<group_member> member = this->member();
    switch (first.type) {
    case message_type::map_request:
        static_cast<void>(channel.write(handle_request(member.get(), first, &group_member::handle_map)));
        return;
    case message_type::step_report_request:
        static_cast<void>(channel.write(handle_request(member.get(), first, &group_member::handle_report)));
        return;
    default:
        this->streams.handle_stream(first, channel);
    }
}

step_response group_agent::serve_step(const step_call& call) {
    const std::shared_ptr<group_member> member = this->member();
    return member ? member->serve_step(call) : step_response{};
}

std::vector<std::uint32_t> group_agent::find_map(const map_id& id) {
    const std::shared_ptr<group_member> member = this->member();
    return member ? member->find_map(id) : std::vector<std::uint32_t>{};
}

bool group_agent::add_map(std::uint64_t version, const std::vector<std::uint32_t>& slots) {
    const std::shared_ptr<group_member> member = this->member();
    return member && member->add_map(version, slots);
}

} // namespace pomelohoist
