#pragma once

namespace pomelohoist {

/// Tells an exchange with a peer, while it waits, that its result is no longer wanted.
class cancellation {
  public:
    virtual ~cancellation() = default;
    /// @returns a descriptor for poll(2), or -1
    [[nodiscard]] virtual int descriptor() const = 0;
    /// @returns events of poll(2) after which `is_cancelled` is to be asked
    [[nodiscard]] virtual short events() const = 0;
    [[nodiscard]] virtual bool is_cancelled() = 0;
};

/// For exchanges that only their time limit ends.
class no_cancellation : public cancellation {
  public:
    [[nodiscard]] int descriptor() const override { return -1; }
    [[nodiscard]] short events() const override { return 0; }
    [[nodiscard]] bool is_cancelled() override { return false; }
};

} // namespace pomelohoist
