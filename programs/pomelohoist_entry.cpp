#include "entry/entry_daemon.h"
#include "spread/platform_source.h"

namespace pomelohoist {

namespace {

class platform_connector : public entry_platform_factory {
  public:
    result<entry_platform> connect(const settings& checked, const daemon_context& context,
                                   inner::datagram_endpoint& calls, const entry_addresses& bound) override {
        const std::string& name = checked.text("process.name");
        const std::string& data_centre = checked.text("process.data_centre");
        const platform_setup setup{
            checked.address("platform.address"), {bound.inner, data_centre, name}, checked.address_list("peers.seeds")};
        auto source = std::make_unique<platform_source>(setup, context, calls);
        auto registry = std::make_unique<member_registry>(source->table(), context.time, context.random,
                                                          member{name, bound.inner, bound.http, data_centre});
        registry->start();
        auto claims = make_claim_access(source->table());
        return entry_platform{std::move(source), std::move(claims), std::move(registry)};
    }
};

} // namespace

} // namespace pomelohoist

int main(int argc, char** argv) {
    pomelohoist::platform_connector connector;
    pomelohoist::entry_daemon_factory factory{connector};
    return pomelohoist::run_daemon(argc, argv, "pomelohoist-entry", factory);
}
