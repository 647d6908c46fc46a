#ifndef ENDIVECART_NODE_DISK_THREAD_H_
#define ENDIVECART_NODE_DISK_THREAD_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "endivecart/fleet/fleet.h"
#include "endivecart/net/net.h"

namespace endivecart::node {

// Internal. Runs disk jobs sequentially on a separate thread, so that a slow
// disk doesn't block the event loop.
class DiskThread {
 public:
  using Job = std::function<fleet::DiskResult()>;
  using Done = std::function<void(const fleet::DiskResult&)>;

  explicit DiskThread(net::EventLoop& loop);
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  // `done` is called on the event loop's thread.
  void Run(Job job, Done done);

 private:
  struct Item {
    Job job;
    Done done;
  };

  void RunJobs();

  net::EventLoop& loop_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::deque<Item> items_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_DISK_THREAD_H_
