#ifndef ENDIVECART_GATEWAY_GATEWAY_H_
#define ENDIVECART_GATEWAY_GATEWAY_H_

// Public header of the gateway library: callers' requests are matched with a
// route and sent to upstreams.

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "endivecart/fleet/fleet.h"
#include "endivecart/gateway/cache_view.h"
#include "endivecart/gateway/caller_request.h"
#include "endivecart/gateway/cold_allowance.h"
#include "endivecart/gateway/move_watch.h"
#include "endivecart/gateway/region_map.h"
#include "endivecart/gateway/retry_allowance.h"
#include "endivecart/gateway/room_odds.h"
#include "endivecart/gateway/speed_learner.h"
#include "endivecart/gateway/upstream_book.h"
#include "endivecart/gateway/waiting_room.h"
#include "endivecart/net/net.h"
#include "endivecart/routes/routes.h"

namespace endivecart::gateway {

struct GatewayOptions {
  HostId host;
  DomainId domain;
  RegionMap regions;
  double retry_ratio = 0.2;
  Millis retry_window{10000};
  // After newer weights were named, older ones may serve for this long.
  Millis old_weights_grace{8000};
  std::uint64_t seed = 1;
};

class Forwarding;

// One host's data path. Belongs to the event loop's thread.
class Gateway {
 public:
  // `loop`, `client` and `metrics` must outlive the gateway.
  Gateway(GatewayOptions options,
          Dialect dialect,
          net::EventLoop& loop,
          net::HttpClient& client,
          MetricsRegistry& metrics);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Handles one request that was read from a caller.
  void Handle(net::HttpExchangePtr exchange);

  // What is in force from now on; `routes` null: nothing is known yet.
  void SetDecisions(fleet::DecisionsPtr decisions,
                    routes::RouteTablePtr routes);
  void SetFollower(const fleet::FleetFollower* follower) {
    follower_ = follower;
  }
  UpstreamBook& book() { return book_; }
  CacheView& cache() { return cache_; }
  const MoveWatch& moves() const { return moves_; }
  bool HasRoutes() const { return routes_ != nullptr; }
  // Requests that were accepted and aren't answered yet.
  std::size_t active() const { return active_.size(); }
  // Lets waiting requests try again, soon: room may have come up.
  void AdmitSoon();
  // This process ends very soon: gives a final answer to each request that has
  // none yet. Streams that have begun can't be told.
  void AnswerAll();
  // Forgets upstreams that are gone, and moves requests away from those that
  // have fallen silent. To be called every second or so.
  void Tick();

 private:
  friend class Forwarding;

  void Refuse(const net::HttpExchangePtr& exchange,
              int status,
              const std::string& reason,
              std::optional<Millis> retry_after,
              const RequestId& id);
  routes::ServiceId ChooseService(const routes::Route& route);
  // The oldest weights that a request may run with; 0: any.
  std::uint64_t LeastWeights(const ModelId& model) const;
  void Remove(const std::shared_ptr<Forwarding>& forwarding);
  void Admit();

  const GatewayOptions options_;
  const Dialect dialect_;
  net::EventLoop& loop_;
  net::HttpClient& client_;
  MetricsRegistry& metrics_;
  UpstreamBook book_;
  CacheView cache_;
  MoveWatch moves_;
  RetryAllowance retries_;
  ColdAllowance cold_;
  SpeedLearner speeds_;
  RoomOdds room_odds_;
  std::mt19937_64 random_;
  const fleet::FleetFollower* follower_ = nullptr;
  fleet::DecisionsPtr decisions_;
  routes::RouteTablePtr routes_;
  // When each version of a model's weights was first heard of.
  std::map<ModelId, std::map<std::uint64_t, TimePoint>> weights_learned_;
  std::set<std::shared_ptr<Forwarding>> active_;
  WaitingRoom waiting_room_;
  std::map<WaitingRoom::Ticket, std::weak_ptr<Forwarding>> waiting_;
  std::unique_ptr<TimerSubscription> admit_soon_;
  std::unique_ptr<TimerSubscription> admit_timer_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_GATEWAY_H_
