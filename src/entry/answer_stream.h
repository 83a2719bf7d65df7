#pragma once

#include "entry/entry_request.h"
#include "entry/response_sink.h"
#include "entry/run_connection.h"

#include <cstdint>
#include <string>

namespace pomelohoist {

/// Passes an answer to the caller: server-sent events as they come, anything else only as a whole.
class answer_stream : public run_consumer {
  public:
    /// @param caller must outlive the stream
    answer_stream(const entry_request& asked, response_sink& caller);

    result<done> take_head(const inner::run_head& head) override;
    result<done> take_data(const std::string& data) override;

    /// Forgets what the caller has not got of the last attempt.
    void prepare_attempt();
    /// Sends what is left. Only after the end record and count were checked.
    void finish();
    /// Ends the answer with an error: a reply, or an event when a stream has begun.
    void fail(const request_failure& failed);

    /// @returns true when the caller has got a part
    [[nodiscard]] bool has_begun() const { return this->begun; }
    [[nodiscard]] std::uint64_t tokens_sent() const { return this->tokens; }
    [[nodiscard]] bool is_caller_gone() const { return this->caller_gone; }

  private:
    result<done> take_event_text(const std::string& event);
    result<done> send_event(const std::string& event);
    result<done> send_piece(const std::string& piece);

    const entry_request& request;
    response_sink& sink;
    inner::run_head received_head;
    std::string pending; ///< received and not yet sent
    bool streaming{false};
    bool begun{false};
    bool closing{false}; ///< the final events have come and are held back
    bool caller_gone{false};
    bool attempt_has_text{false};
    bool attempt_resumes{false};
    std::uint64_t tokens{0};
};

/// @returns the head's fields that a caller may see
std::vector<inner::header_field> caller_headers(const std::vector<inner::header_field>& fields);

} // namespace pomelohoist
