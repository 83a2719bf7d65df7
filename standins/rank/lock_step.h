#pragma once

#include <pomelohoist/expert_balance.h>
#include <pomelohoist/types.h>

#include <Poco/Net/HTTPClientSession.h>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// A rank of a lock-step group. It queries its agent before each step and starts the step when all ranks have started
/// the previous step.
namespace standin {

/// Number of steps that each rank has started, held by rank 0 so that the ranks can wait for each other.
class step_barrier {
  public:
    explicit step_barrier(std::uint32_t ranks) : started(ranks, 0) {}

    /// Records that a rank has started `steps` steps and waits a limited time for the other ranks.
    /// @returns true when all ranks have started at least `steps` steps
    bool arrive(std::uint32_t rank, std::uint64_t steps);

  private:
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<std::uint64_t> started;
};

struct rank_options {
    std::uint32_t rank{0};
    pomelohoist::expert_shape shape;
    std::uint32_t step_ms{1};
    std::uint32_t shift_steps{100}; ///< number of steps after which the popular experts change
    std::string journal;            ///< file that receives a line "STEP MAP_VERSION MAP_DIGEST" for each started step
};

/// Addresses of the processes that the rank calls.
struct rank_peers {
    pomelohoist::net_address agent;
    pomelohoist::net_address root; ///< stand-in of rank 0
};

/// Reference to the map that the agent has granted for the next step.
struct granted_map {
    std::uint64_t version{0};
    std::string digest;
    std::uint64_t from_step{0};

    friend bool operator==(const granted_map&, const granted_map&) = default;
};

class lock_step {
  public:
    explicit lock_step(rank_options initial_options);
    ~lock_step();
    lock_step(const lock_step&) = delete;
    lock_step& operator=(const lock_step&) = delete;

    /// Starts the thread that runs the steps. Further calls are ignored.
    void start(const rank_peers& peer_addresses);

  private:
    struct http_result {
        int status{0}; ///< 0: no response
        std::string body;
    };

    void loop();
    bool is_ready();
    std::optional<granted_map> query_agent(bool ready);
    bool load_map(const granted_map& granted);
    void run_step(const granted_map& used);
    [[nodiscard]] std::vector<double> popularity() const;
    /// @returns tokens of each slot of this rank; the replicas of an expert share its tokens evenly
    [[nodiscard]] std::vector<double> slot_tokens(const std::vector<double>& popular) const;
    bool pause(std::uint32_t milliseconds);
    http_result send(std::unique_ptr<Poco::Net::HTTPClientSession>& session, const pomelohoist::net_address& target,
                     const std::string& method, const std::string& path, const std::string& body);

    rank_options options;
    rank_peers peers;
    std::ofstream journal;
    std::unique_ptr<Poco::Net::HTTPClientSession> agent_session;
    std::unique_ptr<Poco::Net::HTTPClientSession> root_session;
    std::uint64_t step{0}; ///< next step to start
    std::optional<granted_map> running;
    std::optional<granted_map> loaded;
    std::optional<pomelohoist::expert_map> map; ///< the map that `loaded` refers to
    double time_ms{0};
    std::vector<double> tokens;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping{false};
    std::thread thread;
};

} // namespace standin
