#include "group/scripted_network.h"

#include <pomelohoist/config.h>

namespace pomelohoist::test_group {

namespace {

using inner::message_type;

template <class Request, class Response>
inner::payload handle_request(switch_participant& participant, const inner::packet& request,
                              Response (switch_participant::*handler)(const Request&)) {
    return inner::to_payload((participant.*handler)(*inner::decode_body<Request>(request)));
}

} // namespace

class scripted_network : public group_network {
  public:
    scripted_network(scripted_group& members, std::uint32_t own) : group(members), own_rank(own) {}

    std::vector<result<inner::packet>> call_others(const inner::payload& content,
                                                   std::chrono::milliseconds /*timeout*/) override {
        std::vector<result<inner::packet>> responses;
        const inner::packet request{config::protocol_version, content.type, 1, false, "rank-000-agent", content.body};
        this->group.delivered.push_back(request);
        const std::size_t request_bytes = inner::encode(request).size();
        for (std::uint32_t rank = 0; rank < this->group.ranks; ++rank) {
            if (rank == this->own_rank) {
                continue;
            }
            if (this->group.on_call) {
                this->group.on_call(rank);
            }
            responses.emplace_back(this->call(rank, request, request_bytes));
        }
        return responses;
    }

  private:
    result<inner::packet> call(std::uint32_t rank, const inner::packet& request, std::size_t request_bytes) {
        this->group.counts.messages += 1;
        this->group.counts.bytes += request_bytes;
        if (this->group.unreachable.contains(rank)) {
            return failure{error_kind::timeout, "lost"};
        }
        const inner::payload response = this->group.serve(rank, request);
        if (this->group.losing_responses.contains(rank)) {
            return failure{error_kind::timeout, "the response is lost"};
        }
        const inner::packet response_packet{config::protocol_version, response.type, 1, true,
                                            "rank-000-agent",         response.body};
        this->group.counts.messages += 1;
        this->group.counts.bytes += inner::encode(response_packet).size();
        return response_packet;
    }

    scripted_group& group;
    std::uint32_t own_rank;
};

scripted_group::scripted_group(std::uint32_t number_of_ranks, const map_id& first)
    : ranks(number_of_ranks), simulated_ranks(number_of_ranks) {
    for (std::uint32_t rank = 0; rank < this->ranks; ++rank) {
        this->gates.push_back(std::make_unique<fencing_gate>());
        this->participants.push_back(std::make_unique<switch_participant>(this->position(rank), this->time,
                                                                          *this->gates.back(), this->contents));
        this->participants.back()->report({0, std::nullopt});
    }
    // The recoveries of the first ranks fail, because ranks that have not read the ballots do not respond. The ranks
    // whose recovery failed recover in a second round.
    for (std::uint32_t i = 0; i < 2 * this->ranks; ++i) {
        const std::uint32_t rank = i % this->ranks;
        const auto network = this->network_of(rank);
        const auto stored = [&first] { return map_start{first, 0}; };
        switch_recovery{this->position(rank), *this->participants[rank], *network, stored}.run();
    }
    this->start_steps();
    this->counts = {};
    this->delivered.clear();
}

std::unique_ptr<group_network> scripted_group::network_of(std::uint32_t rank) {
    return std::make_unique<scripted_network>(*this, rank);
}

std::uint32_t scripted_group::start_steps() {
    std::uint32_t started = 0;
    for (std::uint32_t rank = 0; rank < this->ranks; ++rank) {
        started += this->start_step_of(rank) ? 1 : 0;
    }
    return started;
}

bool scripted_group::start_step_of(std::uint32_t rank) {
    lock_step_rank& simulated_rank = this->simulated_ranks[rank];
    const auto granted = this->participants[rank]->grant_step({simulated_rank.next, simulated_rank.running});
    if (granted) {
        simulated_rank.running = granted;
        ++simulated_rank.next;
    }
    return granted.has_value();
}

inner::payload scripted_group::serve(std::uint32_t rank, const inner::packet& request) {
    switch_participant& called = *this->participants[rank];
    switch (request.type) {
    case message_type::switch_prepare:
        return handle_request(called, request, &switch_participant::handle_prepare);
    case message_type::switch_query:
        return handle_request(called, request, &switch_participant::handle_query);
    default:
        return handle_request(called, request, &switch_participant::handle_decision);
    }
}

} // namespace pomelohoist::test_group
