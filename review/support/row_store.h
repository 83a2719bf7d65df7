#pragma once

#include "net.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

/// Stand-in for the platform's store: rows in tables, transactions and a feed of changes.
namespace review {

class row_store {
  public:
    explicit row_store(const std::string& ip);
    [[nodiscard]] const address& local_address() const { return this->server->local_address(); }
    /// Writes a row as the operator or a server does.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

  private:
    struct row {
        std::string value;
        std::uint64_t version{0};
        bool is_removed{false};
    };
    struct reply {
        int status{200};
        std::string body;
    };
    using row_key = std::pair<std::string, std::string>; ///< table and key

    void serve(connection& caller);
    reply dispatch(const http_message& request);
    reply transact(const std::string& body);
    reply read(const std::map<std::string, std::string>& query);
    reply feed(const std::map<std::string, std::string>& query);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<row_key, row> rows;
    std::uint64_t version{0};
    std::unique_ptr<listener> server;
};

} // namespace review
