#ifndef ENDIVECART_HOST_CONTROL_THREAD_H_
#define ENDIVECART_HOST_CONTROL_THREAD_H_

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/control/control.h"
#include "endivecart/membership/membership.h"
#include "endivecart/settings/settings.h"
#include "endivecart/transport/transport.h"

namespace endivecart::host {

// Internal. The thread that owns the message bus, the control node and the slot
// exchange. Other threads post tasks to it.
class ControlThread {
 public:
  using Task = std::function<void(TimePoint now)>;

  struct Components {
    std::unique_ptr<transport::MessageBus> bus;
    std::unique_ptr<control::ControlNode> node;
    std::unique_ptr<membership::SlotExchange> exchange;
    std::function<void(TimePoint)> on_tick;  // about every 10 ms
    // Called for messages that are neither for the node nor for the exchange.
    std::function<void(const wire::Envelope&)> on_other_message;
  };

  explicit ControlThread(TimerService& timer);
  ~ControlThread();

  void Start(Components components);
  void Stop();
  // Queues `task` to run on the control thread.
  void Post(Task task);
  // Runs `function` on the control thread and waits for its result.
  template <class Function>
  auto RunAndWait(Function function) {
    using T = decltype(function(TimePoint{}));
    auto promise = std::make_shared<std::promise<T>>();
    auto future = promise->get_future();
    Post([promise, function](TimePoint now) {
      promise->set_value(function(now));
    });
    return future.get();
  }

  // Must only be called on the control thread.
  control::ControlNode& node() { return *components_.node; }
  membership::SlotExchange& exchange() { return *components_.exchange; }
  void Send(const HostId& to, wire::Envelope envelope) {
    components_.bus->Send(to, std::move(envelope));
  }
  const transport::BusCounters& counters() const {
    return components_.bus->counters();
  }

 private:
  void Run();
  void RunTasks(TimePoint now);
  void Dispatch(const wire::Envelope& envelope);

  TimerService& timer_;
  Components components_;
  std::mutex mutex_;
  std::vector<Task> tasks_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace endivecart::host

#endif  // ENDIVECART_HOST_CONTROL_THREAD_H_
