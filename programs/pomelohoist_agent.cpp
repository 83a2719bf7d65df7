#include "agent/agent_daemon.h"

int main(int argc, char** argv) {
    pomelohoist::agent_daemon_factory factory{pomelohoist::make_configuration_source};
    return pomelohoist::run_daemon(argc, argv, "pomelohoist-agent", factory);
}
