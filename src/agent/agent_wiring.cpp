#include "agent/agent_wiring.h"

#include "spread/platform_source.h"

#include <mutex>

namespace pomelohoist {

namespace {

class highest_epoch_gate : public order_gate {
  public:
    bool admit(std::uint64_t epoch) override {
        const std::lock_guard lock{this->mutex};
        if (epoch < this->highest) {
            return false;
        }
        this->highest = epoch;
        return true;
    }

  private:
    std::mutex mutex;
    std::uint64_t highest{0};
};

} // namespace

result<std::unique_ptr<configuration_source>> make_configuration_source(const source_setup& setup) {
    const platform_setup used{
        setup.platform, {setup.listener.local_address(), setup.data_centre, setup.process_name}, setup.seeds};
    std::unique_ptr<configuration_source> source =
        std::make_unique<platform_source>(used, setup.context, setup.listener.calls());
    return source;
}

std::unique_ptr<order_gate> make_order_gate() {
    return std::make_unique<highest_epoch_gate>();
}

} // namespace pomelohoist
