#pragma once

#include "http/http_client.h"
#include "platform/host_list.h"
#include "platform/object_store.h"
#include "platform/table_service.h"
#include "platform/weight_store.h"

#include <pomelohoist/config.h>
#include <pomelohoist/types.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// The platform's services over HTTP: the table service in etcd's v3 JSON form, the other services as plain HTTP.
namespace pomelohoist {

/// Client of all services of the platform. Safe for several threads.
class http_platform : public table_service, public object_store, public host_list, public weight_store {
  public:
    /// @param server address of the platform
    /// @param timeout limit of the connection setup and of each wait for data
    http_platform(net_address server, const clock& time_source,
                  std::chrono::milliseconds timeout = config::store_timeout);

    result<std::optional<table_row>> get(const std::string& key) override;
    result<std::vector<table_row>> list(const std::string& prefix) override;
    result<transaction_outcome> commit(const table_transaction& transaction) override;
    result<std::optional<std::string>> get_object(const std::string& name) override;
    result<done> put_object(const std::string& name, const std::string& content) override;
    result<host_list_content> read_hosts() override;
    result<done> fetch_expert(const std::string& group, std::uint32_t layer, std::uint32_t expert,
                              std::uint32_t rank) override;

  private:
    result<http_reply> exchange(const http_call& call);
    result<std::string> post_json(const std::string& path, const std::string& body);
    std::unique_ptr<http_client> acquire_client();
    void release_client(std::unique_ptr<http_client> client);

    net_address target;
    const clock& time;
    const call_limits limits;
    std::mutex mutex;
    std::vector<std::unique_ptr<http_client>> idle_clients;
};

/// @returns a client with the timeout `config::store_timeout`
std::unique_ptr<http_platform> make_platform_client(const net_address& server, const clock& time_source);

} // namespace pomelohoist
