#include "agent/agent_wiring.h"

#include "spread/platform_source.h"

namespace pomelohoist {

result<std::unique_ptr<configuration_source>> make_configuration_source(const source_setup& setup) {
    const platform_setup source_options{
        setup.platform, {setup.listener.local_address(), setup.data_centre, setup.process_name}, setup.seeds};
    std::unique_ptr<configuration_source> source =
        std::make_unique<platform_source>(source_options, setup.context, setup.listener.calls());
    return source;
}

} // namespace pomelohoist
