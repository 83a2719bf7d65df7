#include "agent/endpoint_driver.h"
#include "agent/http_call.h"

namespace pomelohoist {

namespace {

class service_driver : public endpoint_driver {
  public:
    explicit service_driver(net_address endpoint_address) : target(std::move(endpoint_address)) {}

    endpoint_report run(const endpoint_request& request, endpoint_sink& sink, abort_signal& signal) override {
        return run_http(this->target, request, sink, signal);
    }

    result<endpoint_health> check_health() override { return check_http_health(this->target); }

  private:
    net_address target;
};

} // namespace

std::unique_ptr<endpoint_driver> make_service_driver(const net_address& target) {
    return std::make_unique<service_driver>(target);
}

} // namespace pomelohoist
