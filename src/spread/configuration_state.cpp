#include "spread/configuration_state.h"

#include "spread/configuration_codec.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

configuration_state::configuration_state() : in_force(std::make_shared<const configuration>()) {}

configuration_ptr configuration_state::current() const {
    const std::lock_guard lock{this->mutex};
    return this->in_force;
}

std::uint64_t configuration_state::host_list_version() const {
    const std::lock_guard lock{this->mutex};
    return this->hosts_version;
}

bool configuration_state::is_leaving(const std::string& host) const {
    const std::lock_guard lock{this->mutex};
    return this->leaving.contains(host);
}

void configuration_state::publish(configuration newest, std::vector<encoded_delta> deltas) {
    configuration_ptr next = std::make_shared<const configuration>(std::move(newest));
    const std::lock_guard lock{this->mutex};
    if (deltas.empty()) {
        this->recent.clear();
        this->recent_bytes = 0;
    }
    for (encoded_delta& delta : deltas) {
        this->recent_bytes += delta.bytes.size();
        this->recent.push_back(std::move(delta));
    }
    // Deltas larger than the limit cost a peer more than a snapshot, and would use a large part of the memory of a
    // process. The limit also keeps a response well below the size limit of a frame.
    while (this->recent.size() > config::max_recent_deltas || this->recent_bytes > config::max_recent_delta_bytes) {
        this->recent_bytes -= this->recent.front().bytes.size();
        this->recent.pop_front();
    }
    this->in_force.swap(next);
}

void configuration_state::drop_snapshot(std::uint64_t newest) {
    std::string unused;
    const std::lock_guard lock{this->snapshot_mutex};
    if (this->snapshot_version < newest) {
        this->snapshot_bytes.swap(unused);
        this->snapshot_version = 0;
    }
}

void configuration_state::apply_configuration(configuration newest) {
    const std::lock_guard building{this->apply_mutex};
    const std::uint64_t version = newest.version();
    if (version > this->current()->version()) {
        this->publish(std::move(newest), {});
        this->drop_snapshot(version);
    }
}

result<done> configuration_state::apply_deltas(const std::vector<configuration_delta>& deltas) {
    const std::lock_guard building{this->apply_mutex};
    const configuration_ptr base = this->current();
    configuration newest;
    std::vector<encoded_delta> applied;
    for (const configuration_delta& delta : deltas) {
        if (delta.version <= base->version()) {
            continue;
        }
        const configuration& previous = applied.empty() ? *base : newest;
        if (delta.version != previous.version() + 1) {
            return failure{error_kind::bad_request, "delta " + std::to_string(delta.version) +
                                                        " does not follow version " +
                                                        std::to_string(previous.version())};
        }
        result<configuration> next = previous.apply(delta);
        if (!next) {
            return failure{error_kind::bad_request, "delta " + std::to_string(delta.version) +
                                                        " cannot be applied: " + next.last_error().reason};
        }
        newest = std::move(*next);
        applied.push_back({delta.version, encode_delta(delta)});
    }
    if (!applied.empty()) {
        const std::uint64_t version = newest.version();
        this->publish(std::move(newest), std::move(applied));
        this->drop_snapshot(version);
    }
    return done{};
}

result<done> configuration_state::apply_response(const inner::pull_response& response) {
    if (response.host_list_version > this->host_list_version()) {
        this->apply_hosts({response.host_list_version, response.leaving_hosts});
    }
    if (!response.snapshot.empty()) {
        result<configuration> snapshot = decode_configuration(response.snapshot);
        if (!snapshot) {
            return snapshot.last_error();
        }
        this->apply_configuration(std::move(*snapshot));
    }
    std::vector<configuration_delta> deltas;
    for (const std::string& bytes : response.deltas) {
        result<configuration_delta> delta = decode_delta(bytes);
        if (!delta) {
            return delta.last_error();
        }
        deltas.push_back(std::move(*delta));
    }
    return this->apply_deltas(deltas);
}

void configuration_state::apply_hosts(const host_list_content& content) {
    const std::lock_guard lock{this->mutex};
    if (content.version > this->hosts_version) {
        this->hosts_version = content.version;
        this->leaving = {content.leaving.begin(), content.leaving.end()};
    }
}

std::vector<std::string> configuration_state::deltas_after(std::uint64_t version) const {
    std::vector<std::string> deltas;
    if (this->recent.empty() || this->recent.front().version > version + 1) {
        return deltas;
    }
    for (const encoded_delta& delta : this->recent) {
        if (delta.version > version) {
            deltas.push_back(delta.bytes);
        }
    }
    return deltas;
}

std::string configuration_state::encoded_snapshot(const configuration& content) {
    const std::lock_guard lock{this->snapshot_mutex};
    if (this->snapshot_version != content.version()) {
        this->snapshot_bytes = encode_configuration(content);
        this->snapshot_version = content.version();
    }
    return this->snapshot_bytes;
}

inner::pull_response configuration_state::serve_pull(const inner::pull_request& request) {
    inner::pull_response response;
    configuration_ptr newest;
    {
        const std::lock_guard lock{this->mutex};
        newest = this->in_force;
        response.deltas = this->deltas_after(request.configuration_version);
        response.host_list_version = this->hosts_version;
        if (this->hosts_version > request.host_list_version) {
            response.leaving_hosts.assign(this->leaving.begin(), this->leaving.end());
        }
    }
    response.configuration_version = newest->version();
    if (newest->version() > request.configuration_version && response.deltas.empty()) {
        response.snapshot = this->encoded_snapshot(*newest);
    }
    return response;
}

} // namespace pomelohoist
