#pragma once

#include "entry/claimed_forwarder.h"
#include "entry/forwarder.h"
#include "entry/http_server.h"
#include "entry/request_parser.h"
#include "entry/service_gate.h"
#include "spread/configuration_source.h"

#include <atomic>

namespace pomelohoist {

/// Serves callers' requests, from the received header to the last byte of the response.
class entry_service : public http_service {
  public:
    entry_service(const forward_services& shared, configuration_source& source, forwarder& without_key,
                  claimed_forwarder& with_key, service_gate& admission);

    void serve(const raw_request& raw, steady_time arrived, response_sink& caller) override;
    void refuse(const raw_request& raw, const failure& reason, response_sink& caller) override;
    [[nodiscard]] bool is_ready() const override;
    [[nodiscard]] std::string render_metrics() const override;

  private:
    forward_outcome handle(const raw_request& raw, const std::string& request_id, steady_time arrived,
                           response_sink& caller, scoped_span& span);
    forward_outcome forward(const entry_request& request, response_sink& caller, scoped_span& span);
    forward_outcome fail(const failure& reason, const raw_request& raw, response_sink& caller);
    void record_outcome(const std::string& request_id, const forward_outcome& outcome, steady_time arrived);

    const forward_services& services;
    configuration_source& configurations;
    forwarder& plain;
    claimed_forwarder& claimed;
    service_gate& gate;
    request_parser parser;
    std::atomic<std::uint32_t> open_streams{0};
};

} // namespace pomelohoist
