#include "endivecart/host/control_thread.h"

#include <utility>

namespace endivecart::host {

namespace {

constexpr Millis kPollTimeout{10};

}  // namespace

ControlThread::ControlThread(TimerService& timer) : timer_(timer) {}

ControlThread::~ControlThread() {
  Stop();
}

void ControlThread::Start(Parts parts) {
  parts_ = std::move(parts);
  thread_ = std::thread([this] { Run(); });
}

void ControlThread::Stop() {
  if (!thread_.joinable())
    return;
  stopping_ = true;
  parts_.bus->Wake();
  thread_.join();
}

void ControlThread::Post(Task task) {
  {
    std::scoped_lock lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  if (parts_.bus != nullptr)
    parts_.bus->Wake();
}

void ControlThread::RunTasks(TimePoint now) {
  std::vector<Task> tasks;
  {
    std::scoped_lock lock(mutex_);
    tasks.swap(tasks_);
  }
  for (const Task& task : tasks)
    task(now);
}

void ControlThread::Dispatch(const wire::Envelope& envelope) {
  const TimePoint now = timer_.Now();
  const HostId from(envelope.from());
  if (envelope.has_share_ask()) {
    parts_.exchange->OnAsk(from, envelope.share_ask(), now);
  } else if (envelope.has_share_reply()) {
    parts_.exchange->OnReply(from, envelope.share_reply(), now);
  } else if (envelope.has_move_report()) {
    parts_.on_other(envelope);
  } else {
    parts_.node->OnEnvelope(envelope, now);
  }
}

void ControlThread::Run() {
  while (!stopping_) {
    parts_.bus->Poll(kPollTimeout, [this](const wire::Envelope& envelope) {
      Dispatch(envelope);
    });
    const TimePoint now = timer_.Now();
    RunTasks(now);
    // All proposals of this round share one append and one sync.
    parts_.node->Tick(now);
    parts_.exchange->SetFresh(parts_.node->IsFresh(now));
    parts_.exchange->Tick(now);
    parts_.on_tick(now);
  }
  // Nobody may wait for a task that will not run.
  RunTasks(timer_.Now());
}

}  // namespace endivecart::host
