#include "endivecart/node/disk_thread.h"

#include <utility>

namespace endivecart::node {

DiskThread::DiskThread(net::EventLoop& loop)
    : loop_(loop), thread_([this] { RunJobs(); }) {}

DiskThread::~DiskThread() {
  {
    std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  wakeup_.notify_all();
  thread_.join();
}

void DiskThread::Run(Job job, Done done) {
  {
    std::scoped_lock lock(mutex_);
    items_.push_back({std::move(job), std::move(done)});
  }
  wakeup_.notify_all();
}

void DiskThread::RunJobs() {
  std::unique_lock lock(mutex_);
  while (true) {
    wakeup_.wait(lock, [this] { return stopping_ || !items_.empty(); });
    if (stopping_)
      return;
    const Item item = std::move(items_.front());
    items_.pop_front();
    lock.unlock();
    const fleet::DiskResult result = item.job();
    loop_.Post([done = item.done, result] { done(result); });
    lock.lock();
  }
}

}  // namespace endivecart::node
