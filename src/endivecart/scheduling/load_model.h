#ifndef ENDIVECART_SCHEDULING_LOAD_MODEL_H_
#define ENDIVECART_SCHEDULING_LOAD_MODEL_H_

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "endivecart/scheduling/scheduling.h"

namespace endivecart::scheduling {

// For tests: a stream of alike requests.
struct LoadClass {
  std::string name;
  int rank = 0;
  std::string customer = "c";
  std::int64_t work_tokens = 1000;
  Millis latency_target{500};
  Millis time_limit{3000};
  Millis from{0};
  Millis until{10000};
  Millis interval{100};
  Millis used_before{0};  // by the caller's earlier attempt

  bool operator==(const LoadClass&) const = default;
};

// For tests: plays loads against room that becomes free at a constant rate.
// Callers return once, as real ones do: after `Retry-After`, but at the latest
// after a third of their time left.
class LoadModel {
 public:
  // Time from the send to the first event.
  static constexpr Millis kService{100};

  enum class Outcome { kOnTime, kLate, kRefused, kExpired };

  struct Result {
    std::string name;
    Outcome outcome = Outcome::kRefused;
    Millis sent_at{0};      // by the caller, first attempt
    Millis waited{0};       // last attempt, in the queue
    Millis retry_after{0};  // of the first refusal
    int attempts = 1;

    bool operator==(const Result&) const = default;
  };

  LoadModel(double tokens_per_ms, std::int64_t most_room)
      : tokens_per_ms_(tokens_per_ms), most_room_(most_room) {}

  void Play(const std::vector<LoadClass>& classes, Millis time) {
    for (now_ = Millis(0); now_ < time; now_ += kStep) {
      for (const LoadClass& load : classes) {
        if (now_ >= load.from && now_ < load.until &&
            (now_ - load.from) % load.interval < kStep) {
          Arrive({load,
                  {load.name, Outcome::kRefused, now_ - load.used_before},
                  now_ - load.used_before + load.time_limit});
        }
      }
      Return();
      Step();
    }
  }
  const std::vector<Result>& results() const { return results_; }
  std::vector<Result> Of(const std::string& name,
                         Millis from = Millis(0)) const {
    std::vector<Result> out;
    for (const Result& result : results_) {
      if (result.name == name && result.sent_at >= from)
        out.push_back(result);
    }
    return out;
  }

 private:
  static constexpr Millis kStep{5};

  struct Caller {
    LoadClass load;
    Result result;
    Millis deadline{0};
    Millis queued_at{0};
    Millis return_at{0};
  };

  static TimePoint At(Millis time) { return TimePoint(Millis(1000000) + time); }

  void Arrive(Caller caller) {
    const LoadClass& load = caller.load;
    const Millis target = caller.result.sent_at + load.latency_target;
    caller.queued_at = now_;
    const auto ticket = queue_.Add(
        {load.rank, CustomerId(load.customer), load.name, "s", load.work_tokens,
         At(caller.result.sent_at), At(target - kService),
         At(caller.deadline - kService), At(caller.deadline)},
        At(now_));
    callers_.emplace(ticket, std::move(caller));
  }

  void Return() {
    const auto due = [this](const Caller& c) { return c.return_at <= now_; };
    std::vector<Caller> returning;
    std::copy_if(away_.begin(), away_.end(), std::back_inserter(returning),
                 due);
    std::erase_if(away_, due);
    for (Caller& caller : returning) {
      ++caller.result.attempts;
      Arrive(std::move(caller));
    }
  }

  void Step() {
    room_ =
        std::min(room_ + tokens_per_ms_ * static_cast<double>(kStep.count()),
                 static_cast<double>(most_room_));
    queue_.Admit([this](WaitQueue::Ticket ticket) { return Place(ticket); },
                 At(now_));
    for (const auto& refusal : queue_.Refusals(At(now_)))
      Refuse(refusal);
    std::vector<WaitQueue::Ticket> expired;
    for (const auto& [ticket, caller] : callers_) {
      if (now_ + kService > caller.deadline)
        expired.push_back(ticket);
    }
    for (const auto ticket : expired)
      End(ticket, Outcome::kExpired);
  }

  bool Place(WaitQueue::Ticket ticket) {
    const LoadClass& load = callers_.at(ticket).load;
    const auto work = static_cast<double>(load.work_tokens);
    if (work > room_)
      return false;
    room_ -= work;
    const Millis took = now_ + kService - callers_.at(ticket).result.sent_at;
    End(ticket,
        took <= load.latency_target ? Outcome::kOnTime : Outcome::kLate);
    return true;
  }

  void Refuse(const WaitQueue::Refusal& refusal) {
    Caller& caller = callers_.at(refusal.ticket);
    const Millis honoured = (caller.deadline - now_) / 3;
    if (caller.result.attempts > 1 || refusal.retry_after > honoured) {
      End(refusal.ticket, Outcome::kRefused);
      return;
    }
    caller.result.retry_after = refusal.retry_after;
    caller.return_at = now_ + refusal.retry_after;
    away_.push_back(caller);
    queue_.Remove(refusal.ticket, At(now_));
    callers_.erase(refusal.ticket);
  }

  void End(WaitQueue::Ticket ticket, Outcome outcome) {
    Caller& caller = callers_.at(ticket);
    caller.result.outcome = outcome;
    caller.result.waited = now_ - caller.queued_at;
    results_.push_back(caller.result);
    queue_.Remove(ticket, At(now_));
    callers_.erase(ticket);
  }

  const double tokens_per_ms_;
  const std::int64_t most_room_;
  double room_ = 0;
  Millis now_{0};
  WaitQueue queue_{1};
  std::map<WaitQueue::Ticket, Caller> callers_;
  std::vector<Caller> away_;
  std::vector<Result> results_;
};

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_LOAD_MODEL_H_
