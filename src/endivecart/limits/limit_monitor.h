#ifndef ENDIVECART_LIMITS_LIMIT_MONITOR_H_
#define ENDIVECART_LIMITS_LIMIT_MONITOR_H_

#include <optional>
#include <string>
#include <vector>

#include "endivecart/limits/limit_table.h"
#include "endivecart/limits/room_limiter.h"
#include "endivecart/limits/share_limiter.h"

namespace endivecart::limits {

// One host's view of the limits that upstreams name, and its share of them.
// Hosts report their own observations to control hosts, which merge them and
// tell all hosts: a host without a share gets no answers from the upstream.
class LimitMonitor {
 public:
  // Records what an answer to a request sent at `sent_at` says.
  void OnAnswer(const std::string& upstream_run,
                const UpstreamLimits& limits,
                TimePoint sent_at,
                TimePoint now);
  // Merges what a control host knows.
  void Apply(const std::vector<NamedLimit>& limits);
  // Returns this host's own observations.
  std::vector<NamedLimit> Findings(TimePoint now);

  // Sets this host's rank. An unknown rank keeps the last one: a host that
  // loses contact keeps its share, and the others keep theirs.
  void SetRank(const HostRank& rank);
  bool IsLimited(const std::string& upstream_run) const {
    return known_.Find(upstream_run).has_value();
  }
  // Returns the refusals per second that the upstream can bear; nullopt if it
  // isn't brittle.
  std::optional<double> RefusalLimit(const std::string& upstream_run) const {
    return known_.FindRefusalLimit(upstream_run);
  }
  // Records that the upstream refused a request for want of room.
  void OnRefused(const std::string& upstream_run, TimePoint now);
  // Returns whether one more request to a brittle upstream is safe. Upstreams
  // of one service are brittle together, so it need not have said so itself.
  bool HasRoom(const std::string& upstream_run,
               const Room& room,
               TimePoint now) const;
  // Acquires a permit for one request to a limited upstream.
  bool TryAcquire(const std::string& upstream_run, TimePoint now);
  // Returns when to ask again for a limited upstream.
  Millis TimeToNext(const std::string& upstream_run, TimePoint now) const;
  void Expire(TimePoint now);
  std::size_t limited() const;

 private:
  void LogChange(const std::string& upstream_run) const;

  LimitTable own_;    // from answers to this host
  LimitTable known_;  // from all hosts
  ShareLimiter shares_;
  RoomLimiter rooms_;
  HostRank rank_;
};

// Returns how hosts divide a limit.
SharedRate RateOf(double requests_per_s);

}  // namespace endivecart::limits

#endif  // ENDIVECART_LIMITS_LIMIT_MONITOR_H_
