#ifndef STANDINS_PLATFORM_STANDIN_H_
#define STANDINS_PLATFORM_STANDIN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "endivecart/net/net.h"

namespace standins {

struct PlatformOptions {
  endivecart::settings::Endpoint listen;
  bool fencing_required = false;
  std::size_t calls_per_s = 50;
};

// The interface of the platform that takes usage reports and orders for the
// number of servers. Runs on the loop's thread.
class PlatformStandin {
 public:
  // A call that was executed.
  struct Call {
    std::string path;
    std::string holder;
    std::uint64_t token = 0;
    std::string body;

    bool operator==(const Call&) const = default;
  };

  // What happens to the next calls.
  struct Faults {
    endivecart::Millis answer_delay{0};
    int lost = 0;  // calls that are neither executed nor answered
    int late = 0;  // calls that are executed after `late_by`, without an answer
    endivecart::Millis late_by{3000};
    int failed = 0;  // calls that are answered with 503
  };

  PlatformStandin(endivecart::net::EventLoop& loop, PlatformOptions options);
  // Starts listening. Returns an error text, empty on success.
  std::string Start();
  void Stop() { server_.reset(); }
  int port() const { return server_->port(); }

  Faults faults;
  // In the order of their execution.
  const std::vector<Call>& executed() const { return executed_; }
  int refused() const { return refused_; }      // 409
  int throttled() const { return throttled_; }  // 429
  // Returns the first rule of the platform that was violated; empty if none
  // was.
  const std::string& violation() const { return violation_; }

 private:
  void Handle(const endivecart::net::HttpExchangePtr& exchange);
  bool IsThrottled();
  void Execute(const Call& call);

  endivecart::net::EventLoop& loop_;
  const PlatformOptions options_;
  std::unique_ptr<endivecart::net::HttpServer> server_;
  std::vector<std::unique_ptr<endivecart::TimerSubscription>> timers_;
  std::deque<endivecart::TimePoint> arrivals_;         // within the last second
  std::map<std::string, std::uint64_t> newest_token_;  // by subject
  std::map<std::string, std::string> reports_;         // by window
  std::vector<Call> executed_;
  int refused_ = 0;
  int throttled_ = 0;
  std::string violation_;
};

}  // namespace standins

#endif  // STANDINS_PLATFORM_STANDIN_H_
