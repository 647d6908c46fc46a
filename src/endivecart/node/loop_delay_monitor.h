#ifndef ENDIVECART_NODE_LOOP_DELAY_MONITOR_H_
#define ENDIVECART_NODE_LOOP_DELAY_MONITOR_H_

#include <memory>

#include "endivecart/net/net.h"

namespace endivecart::node {

// Internal. Measures how late a process gets to its work: whatever waits for
// the event loop, for example the close of a caller's connection, is noticed
// that much later. Observed as `endivecart_loop_delay_ms`; long delays are
// logged.
class LoopDelayMonitor {
 public:
  // `loop` and `metrics` must outlive the monitor.
  LoopDelayMonitor(net::EventLoop& loop, MetricsRegistry& metrics);

 private:
  void Arm();

  net::EventLoop& loop_;
  MetricsRegistry& metrics_;
  std::unique_ptr<TimerSubscription> timer_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_LOOP_DELAY_MONITOR_H_
