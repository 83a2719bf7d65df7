#pragma once

#include "entry/run_connection.h"

namespace pomelohoist {

/// Collects a response that is stored before it is sent.
class response_buffer : public run_consumer {
  public:
    result<done> on_head(const inner::run_head& head) override;
    result<done> on_data(const std::string& data) override;
    result<done> on_end() override { return done{}; }

    void clear() { this->response = {}; }
    /// @attention complete only after the end record and its chunk count have been checked
    [[nodiscard]] const inner::stored_response& content() const { return this->response; }

  private:
    inner::stored_response response;
};

} // namespace pomelohoist
