#pragma once

#include "entry/entry_request.h"
#include "entry/response_sink.h"
#include "entry/run_connection.h"
#include "entry/stream_event.h"

#include <cstdint>
#include <string>

namespace pomelohoist {

/// Forwards a response to the caller: server-sent events as they arrive, any other response only when it is complete.
class response_stream : public run_consumer {
  public:
    /// @attention the request and `caller` must outlive the stream
    response_stream(const entry_request& caller_request, response_sink& caller);

    result<done> on_head(const inner::run_head& head) override;
    result<done> on_data(const std::string& data) override;
    result<done> on_end() override;

    /// Discards data of the last attempt that has not been sent to the caller.
    void begin_attempt();
    /// Sends the remaining data.
    /// @attention must be called only after the end record and its chunk count have been checked
    void finish();
    /// Ends with an error: an error response, or an error event when the stream has begun.
    void fail(const request_failure& failed);

    /// @returns true when a part of the response has been sent to the caller
    [[nodiscard]] bool has_begun() const { return this->begun; }
    [[nodiscard]] std::uint64_t tokens_sent() const { return this->tokens; }
    [[nodiscard]] bool is_caller_disconnected() const { return this->caller_disconnected; }

  private:
    result<done> handle_event(const stream_event& event);
    result<done> send_event(const std::string& event);
    result<done> send_piece(const std::string& piece);

    const entry_request& request;
    response_sink& sink;
    inner::run_head received_head;
    std::string pending; ///< received and held back until the end
    stream_event_parser events{event_extensions{"", true}};
    std::size_t bytes_without_data{0}; ///< of the events since the last one with data
    bool streaming{false};
    bool begun{false};
    bool closing{false}; ///< the closing events were received and are held back
    bool caller_disconnected{false};
    bool attempt_has_text{false};
    bool attempt_resumes{false};
    std::uint64_t tokens{0};
};

} // namespace pomelohoist
