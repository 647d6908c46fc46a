#ifndef ENDIVECART_MOVES_MOVE_CONTROLLER_H_
#define ENDIVECART_MOVES_MOVE_CONTROLLER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/moves/move_plan.h"
#include "endivecart/moves/version_gate.h"

namespace endivecart::moves {

// An order to an upstream, with the number that fences off older leaders.
struct Order {
  UpstreamId upstream;
  std::string url;
  std::string action;  // "load"
  VersionId version;
  std::uint64_t fence = 0;

  bool operator==(const Order&) const = default;
};

// An upstream as the leader knows it.
struct KnownUpstream {
  UpstreamId id;
  std::string url;
  DomainId domain;
  ModelId model;
  std::vector<VersionId> versions;

  bool operator==(const KnownUpstream&) const = default;
};

// Carries out moves while this host leads. Its state is in the configuration;
// what it keeps besides may be lost with the leader and is built up again.
// A pure core but for its hooks; belongs to one thread.
class MoveController {
 public:
  struct Hooks {
    // Proposes a change of the configuration against `revision`.
    std::function<void(const std::string& change_id,
                       const std::string& patch,
                       Revision revision)>
        propose;
    // Starts an order; OnOrderEnded() is to be called with its end.
    std::function<void(const Order&)> send_order;
  };

  explicit MoveController(Hooks hooks) : hooks_(std::move(hooks)) {}

  // This host began to lead at `now`, with the fencing number `fence`.
  void OnLeading(std::uint64_t fence, TimePoint now);
  void OnReport(const HostId& host, const MoveReport& report);
  void OnOrderEnded(const UpstreamId& upstream, TimePoint now);
  void Tick(const configuration::ConfigurationSnapshot& configuration,
            const std::vector<KnownUpstream>& upstreams,
            std::int64_t unix_ms,
            TimePoint now);

 private:
  struct Seen {  // of one move
    std::int64_t started_ms = 0;
    int share_permille = -1;
    std::int64_t share_since_ms = 0;
    std::map<HostId, MoveReport> reports;
    PooledJudge judge;
  };

  void RunMove(const configuration::ConfigurationSnapshot& configuration,
               const configuration::Model& model,
               const std::vector<KnownUpstream>& upstreams,
               std::int64_t unix_ms,
               TimePoint now);
  void WatchPromoted(const configuration::ConfigurationSnapshot& configuration,
                     const configuration::Model& model);
  Seen& SeenOf(const configuration::Model& model, std::int64_t unix_ms);
  MoveView MakeView(const configuration::ConfigurationSnapshot& configuration,
                    const configuration::Model& model,
                    const std::vector<KnownUpstream>& upstreams,
                    const Seen& seen,
                    std::int64_t unix_ms) const;
  void SendLoads(const configuration::ConfigurationSnapshot& configuration,
                 const MoveStep& step,
                 const VersionId& version,
                 const std::vector<KnownUpstream>& upstreams,
                 TimePoint now);
  void Propose(const configuration::ConfigurationSnapshot& configuration,
               const configuration::Model& model,
               const std::string& patch);

  Hooks hooks_;
  std::uint64_t fence_ = 0;
  TimePoint leading_since_{};
  std::map<ModelId, Seen> seen_;
  // Orders under way, or ended so lately that the upstream's announcement
  // may not tell of them yet.
  std::map<UpstreamId, TimePoint> ordered_;
};

}  // namespace endivecart::moves

#endif  // ENDIVECART_MOVES_MOVE_CONTROLLER_H_
