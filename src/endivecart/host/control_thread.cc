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

void ControlThread::Start(Components components) {
  components_ = std::move(components);
  thread_ = std::thread([this] { Run(); });
}

void ControlThread::Stop() {
  if (!thread_.joinable())
    return;
  stopping_ = true;
  components_.bus->Wake();
  thread_.join();
}

void ControlThread::Post(Task task) {
  {
    std::scoped_lock lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  if (components_.bus != nullptr)
    components_.bus->Wake();
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
    components_.exchange->OnAsk(from, envelope.share_ask(), now);
  } else if (envelope.has_share_reply()) {
    components_.exchange->OnReply(from, envelope.share_reply(), now);
  } else if (envelope.has_move_report()) {
    components_.on_other_message(envelope);
  } else {
    components_.node->OnEnvelope(envelope, now);
  }
}

void ControlThread::Run() {
  while (!stopping_) {
    components_.bus->Poll(kPollTimeout, [this](const wire::Envelope& envelope) {
      Dispatch(envelope);
    });
    const TimePoint now = timer_.Now();
    RunTasks(now);
    // All proposals of one iteration share one append and one sync.
    components_.node->Tick(now);
    components_.exchange->SetFresh(components_.node->IsFresh(now));
    components_.exchange->Tick(now);
    components_.on_tick(now);
  }
  // Runs the remaining tasks, because threads may wait for their results.
  RunTasks(timer_.Now());
}

}  // namespace endivecart::host
