#ifndef ENDIVECART_DUTIES_USAGE_LOG_H_
#define ENDIVECART_DUTIES_USAGE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "endivecart/duties/duty_call.h"
#include "endivecart/transport/transport.h"

namespace endivecart::duties {

// The closed usage windows as of one index of the replicated log. Reports are
// built from it alone, so that all holders of the duty send the same counts.
class UsageLog {
 public:
  struct ClosedWindow {
    UsageWindow window;
    bool is_finished = false;  // acknowledged by the platform, or dropped

    bool operator==(const ClosedWindow&) const = default;
  };

  static constexpr std::size_t kKeptWindows = 24;

  // Applies a command. Returns whether it fixed the counts of its window: the
  // first command for a window does, unless the window is older than all kept.
  bool Apply(const wire::CloseUsageWindowCommand& command);
  // Whether a command could still fix the counts of the window.
  bool CanClose(std::uint64_t window) const;
  // The kept windows by number.
  const std::map<std::uint64_t, ClosedWindow>& windows() const {
    return windows_;
  }

  void AddTo(wire::FleetDecisions& snapshot) const;
  static UsageLog FromSnapshot(const wire::FleetDecisions& snapshot);

  bool operator==(const UsageLog&) const = default;

 private:
  std::map<std::uint64_t, ClosedWindow> windows_;
};

wire::ClosedUsageWindow ToWire(const UsageWindow& window);

}  // namespace endivecart::duties

#endif  // ENDIVECART_DUTIES_USAGE_LOG_H_
