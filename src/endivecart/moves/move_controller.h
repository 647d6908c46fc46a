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

// An order to an upstream, with a fencing number that lets it reject the orders
// of earlier leaders.
struct Order {
  UpstreamId upstream;
  std::string url;
  std::string action;  // "load"
  VersionId version;
  std::uint64_t fence = 0;

  bool operator==(const Order&) const = default;
};

// An upstream and its state, as known to the leader.
struct KnownUpstream {
  UpstreamId id;
  std::string url;
  DomainId domain;
  ModelId model;
  std::vector<VersionId> versions;

  bool operator==(const KnownUpstream&) const = default;
};

// Runs moves while this host is the leader. The state of a move is stored in
// the configuration; what is kept here is rebuilt by a new leader. Acts only
// through its hooks and reads no clock. Not thread-safe.
class MoveController {
 public:
  struct Hooks {
    // Proposes a change of the configuration against `revision`.
    std::function<void(const std::string& change_id,
                       const std::string& patch,
                       Revision revision)>
        propose;
    // Starts an order; the owner calls OnOrderEnded() when it ends.
    std::function<void(const Order&)> send_order;
  };

  explicit MoveController(Hooks hooks) : hooks_(std::move(hooks)) {}

  // Called when this host became the leader, with the fencing number `fence`.
  void OnLeadershipGained(std::uint64_t fence, TimePoint now);
  void OnReport(const HostId& host, const MoveReport& report);
  void OnOrderEnded(const UpstreamId& upstream, TimePoint now);
  void Tick(const configuration::ConfigurationSnapshot& configuration,
            const std::vector<KnownUpstream>& upstreams,
            std::int64_t unix_ms,
            TimePoint now);

 private:
  // State of one move.
  struct MoveState {
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
  void CheckPromoted(const configuration::ConfigurationSnapshot& configuration,
                     const configuration::Model& model);
  MoveState& RefreshState(const configuration::Model& model,
                          std::int64_t unix_ms);
  MoveView BuildView(const configuration::ConfigurationSnapshot& configuration,
                     const configuration::Model& model,
                     const std::vector<KnownUpstream>& upstreams,
                     const MoveState& state,
                     std::int64_t unix_ms) const;
  void SendLoadOrders(const configuration::ConfigurationSnapshot& configuration,
                      const MoveStep& step,
                      const VersionId& version,
                      const std::vector<KnownUpstream>& upstreams,
                      TimePoint now);
  void Propose(const configuration::ConfigurationSnapshot& configuration,
               const configuration::Model& model,
               const std::string& patch);

  Hooks hooks_;
  std::uint64_t fence_ = 0;
  TimePoint leader_since_{};
  std::map<ModelId, MoveState> states_;
  // When each upstream's last order no longer counts as loading: it is in
  // progress, or ended so recently that the announcement may not reflect it.
  std::map<UpstreamId, TimePoint> recent_orders_;
};

}  // namespace endivecart::moves

#endif  // ENDIVECART_MOVES_MOVE_CONTROLLER_H_
