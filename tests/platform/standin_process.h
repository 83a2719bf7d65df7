#pragma once

#include "platform/http_platform.h"

#include <pomelohoist/types.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>

#include <csignal>
#include <stdexcept>
#include <string>
#include <vector>

/// Runs the program `standin-platform` as a child process of a test.
namespace pomelohoist {

class standin_process {
  public:
    explicit standin_process(const std::vector<std::string>& arguments = {})
        : handle(Poco::Process::launch(POMELOHOIST_BIN_DIR "/standin-platform", arguments, nullptr, &this->output,
                                       nullptr)) {
        Poco::PipeInputStream stream{this->output};
        std::string line;
        std::getline(stream, line);
        const std::string mark = "ready http=";
        const auto address = line.starts_with(mark) ? net_address::parse(line.substr(mark.size())) : std::nullopt;
        if (!address) {
            throw std::runtime_error("the stand-in did not start: " + line);
        }
        this->served = *address;
    }
    ~standin_process() {
        kill(this->handle.id(), SIGTERM);
        this->handle.wait();
    }
    standin_process(const standin_process&) = delete;
    standin_process& operator=(const standin_process&) = delete;

    [[nodiscard]] net_address address() const { return this->served; }

    /// @param path "faults" or "hosts"
    void control(const std::string& path, const std::string& body) {
        Poco::Net::HTTPClientSession session{this->served.ip, this->served.port};
        Poco::Net::HTTPRequest request{"PUT", "/standin/" + path, "HTTP/1.1"};
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string response_body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), response_body);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            throw std::runtime_error("the stand-in refused " + body);
        }
    }

  private:
    Poco::Pipe output;
    Poco::ProcessHandle handle;
    net_address served;
};

} // namespace pomelohoist
