#ifndef ENDIVECART_QUARANTINE_REACH_MONITOR_H_
#define ENDIVECART_QUARANTINE_REACH_MONITOR_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/quarantine/reach.h"

namespace endivecart::quarantine {

// Finds out whether this host is cut off from all upstreams of a service.
//
// One upstream that fails, or falls silent, says little. After that,
// connections are opened to several upstreams as probes, without a request: if
// none of them can be established, the host is cut off, or all upstreams are
// down, which only other hosts can tell. Established connections may stay
// usable while new ones are refused, so only a new connection ends the state.
class ReachMonitor {
 public:
  // Requests are outstanding and no upstream of the service has sent anything
  // for this long: a reason to probe. Sound upstreams may be silent for longer.
  static constexpr Millis kSilence{400};
  static constexpr Millis kProbeTimeout{300};
  // From the begin of one round of probes to the next.
  static constexpr Millis kProbeInterval{350};
  // Upstreams that are probed in a round, as far as there are so many.
  static constexpr std::size_t kProbes = 3;
  // A service that was not used for this long is forgotten.
  static constexpr Millis kMemory{10000};

  // Records data from an upstream.
  void OnData(const std::string& service, TimePoint now);
  // Records a connection that was opened for a request, at `at` or later.
  void OnConnected(const std::string& service, TimePoint at);
  // Records a connection for a request that could not be opened.
  void OnUnreachable(const std::string& service, TimePoint now);
  // Records that a request has been waiting for data since `since`.
  void OnWaiting(const std::string& service, TimePoint since, TimePoint now);
  // Returns the services to probe now. BeginProbes() must follow for each.
  std::vector<std::string> ServicesToProbe(TimePoint now) const;
  // Begins a round with this many probes, each followed by OnProbe().
  void BeginProbes(const std::string& service,
                   std::size_t probes,
                   TimePoint now);
  void OnProbe(const std::string& service, bool connected, TimePoint now);

  // Returns since when the host has been cut off from the service; nullopt if
  // it isn't.
  std::optional<TimePoint> CutOffSince(const std::string& service) const;
  bool IsCutOff() const;
  // Returns when data last arrived from any upstream of the service.
  TimePoint LastData(const std::string& service) const;
  std::vector<ServiceReach> Report(TimePoint now) const;
  void Expire(TimePoint now);

 private:
  struct State {
    TimePoint used_at{};
    TimePoint data_at{};
    TimePoint connected_at{};
    std::optional<TimePoint> failing_since;  // no connection since
    bool is_cut_off = false;
    TimePoint probed_at{};
    std::size_t probes_out = 0;
  };

  void Suspect(State& state, TimePoint now);
  void Clear(const std::string& service, State& state, TimePoint now);

  std::map<std::string, State> services_;
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_REACH_MONITOR_H_
