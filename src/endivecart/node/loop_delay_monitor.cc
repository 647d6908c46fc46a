#include "endivecart/node/loop_delay_monitor.h"

namespace endivecart::node {

namespace {

constexpr Millis kInterval{100};
// Half of the time in which work for a caller that has left must end.
constexpr Millis kLongDelay{250};

}  // namespace

LoopDelayMonitor::LoopDelayMonitor(net::EventLoop& loop,
                                   MetricsRegistry& metrics)
    : loop_(loop), metrics_(metrics) {
  Arm();
}

void LoopDelayMonitor::Arm() {
  const TimePoint due = loop_.Now() + kInterval;
  timer_ = loop_.After(kInterval, [this, due](TimePoint now) {
    const double delay_ms = MillisBetween(due, now);
    metrics_.Observe("endivecart_loop_delay_ms", {}, delay_ms);
    if (now - due >= kLongDelay)
      LogLine("node.loop_delayed").Add("ms", delay_ms).Warn();
    Arm();
  });
}

}  // namespace endivecart::node
