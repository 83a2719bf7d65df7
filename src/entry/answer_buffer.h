#pragma once

#include "entry/run_connection.h"

namespace pomelohoist {

/// Collects an answer that is stored before it is sent.
class answer_buffer : public run_consumer {
  public:
    result<done> take_head(const inner::run_head& head) override;
    result<done> take_data(const std::string& data) override;

    void clear() { this->answer = {}; }
    /// @attention whole only after the end record and count were checked
    [[nodiscard]] const inner::stored_response& content() const { return this->answer; }

  private:
    inner::stored_response answer;
};

} // namespace pomelohoist
