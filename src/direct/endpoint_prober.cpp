#include "direct/endpoint_prober.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

namespace pomelohoist {

std::string_view name_of(endpoint_condition condition) {
    switch (condition) {
    case endpoint_condition::listening:
        return "listening";
    case endpoint_condition::connection_refused:
        return "connection_refused";
    case endpoint_condition::no_response:
    case endpoint_condition::count:
        break;
    }
    return "no_response";
}

endpoint_condition tcp_endpoint_prober::probe(const net_address& endpoint) {
    constexpr long long microseconds_per_millisecond = 1000;
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress{endpoint.ip, endpoint.port},
                       Poco::Timespan{this->timeout.count() * microseconds_per_millisecond});
        return endpoint_condition::listening;
    } catch (const Poco::Net::ConnectionRefusedException&) {
        return endpoint_condition::connection_refused;
    } catch (const Poco::Exception&) {
        return endpoint_condition::no_response;
    }
}

} // namespace pomelohoist
