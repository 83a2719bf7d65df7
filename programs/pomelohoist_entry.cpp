#include "entry/entry_daemon.h"

namespace pomelohoist {

namespace {

/// @returns the platform's table service at `platform.address`
result<std::unique_ptr<table_service>> make_table(const settings& /*checked*/, const daemon_context& /*context*/) {
    return failure{error_kind::not_ready, "this build has no client of the platform's table service"};
}

/// @returns the claims in the rows of the table service
result<std::unique_ptr<claim_access>> make_claims(table_service& /*table*/) {
    return failure{error_kind::not_ready, "this build has no claim store"};
}

/// @returns the propagation of configuration
result<std::unique_ptr<configuration_source>> make_configuration_source(const settings& /*checked*/,
                                                                        const daemon_context& /*context*/,
                                                                        table_service& /*table*/,
                                                                        inner::datagram_endpoint& /*calls*/) {
    return failure{error_kind::not_ready, "this build has no propagation of configuration"};
}

class platform_connector : public entry_platform_factory {
  public:
    result<entry_platform> connect(const settings& checked, const daemon_context& context,
                                   inner::datagram_endpoint& calls) override {
        result<std::unique_ptr<table_service>> table = make_table(checked, context);
        if (!table) {
            return table.last_error();
        }
        result<std::unique_ptr<claim_access>> claims = make_claims(**table);
        if (!claims) {
            return claims.last_error();
        }
        auto configurations = make_configuration_source(checked, context, **table, calls);
        if (!configurations) {
            return configurations.last_error();
        }
        return entry_platform{std::move(*table), std::move(*claims), std::move(*configurations)};
    }
};

} // namespace

} // namespace pomelohoist

int main(int argc, char** argv) {
    pomelohoist::platform_connector connector;
    pomelohoist::entry_daemon_factory factory{connector};
    return pomelohoist::run_daemon(argc, argv, "pomelohoist-entry", factory);
}
