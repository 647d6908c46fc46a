#ifndef ENDIVECART_HOST_MOVE_RUNNER_H_
#define ENDIVECART_HOST_MOVE_RUNNER_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "endivecart/entry/entry.h"
#include "endivecart/host/control_thread.h"
#include "endivecart/moves/moves.h"

namespace endivecart::host {

// Internal. Connects the moves library to a host: the version gate of every
// request, the reports to the leader, and the controller while this host is the
// leader. Two threads send the orders, so at most two are in progress.
class MoveRunner {
 public:
  MoveRunner(const HostId& self,
             ControlThread& control,
             entry::Dispatcher& dispatcher);
  ~MoveRunner();
  MoveRunner(const MoveRunner&) = delete;
  MoveRunner& operator=(const MoveRunner&) = delete;

  // Called on request threads.
  VersionId Choose(const configuration::Model& model,
                   const std::string& route,
                   int draw,
                   bool fresh);
  void OnReport(const entry::Placement& placement,
                const std::string& class_name,
                const entry::AttemptReport& report);

  // Called on the control thread.
  void Tick(TimePoint now);
  void OnEnvelope(const wire::Envelope& envelope);

 private:
  void RunOrders();
  void SendReports();
  std::vector<moves::KnownUpstream> KnownUpstreams() const;

  const HostId self_;
  ControlThread& control_;
  entry::Dispatcher& dispatcher_;
  std::mutex gate_mutex_;
  moves::VersionGate gate_;
  moves::MoveController controller_;
  std::uint64_t leading_term_ = 0;
  TimePoint next_tick_{};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<moves::Order> orders_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace endivecart::host

#endif  // ENDIVECART_HOST_MOVE_RUNNER_H_
