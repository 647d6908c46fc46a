#include "endivecart/entry/dispatcher.h"

#include <utility>

#include "endivecart/entry/dispatcher_state.h"

namespace endivecart::entry {

Dispatcher::Dispatcher(const settings::HostSettings& settings,
                       RoutingPolicy policy,
                       Hooks hooks,
                       MetricsRegistry& metrics)
    : state_(std::make_unique<State>(settings,
                                     policy,
                                     std::move(hooks),
                                     metrics)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetConfiguration(
    configuration::ConfigurationPtr configuration) {
  state_->SetConfiguration(std::move(configuration));
}

void Dispatcher::OnGrants(
    const std::vector<membership::ResourceGrant>& grants) {
  std::scoped_lock lock(state_->mutex_);
  for (const membership::ResourceGrant& grant : grants)
    state_->slots_.SetGrant(grant.resource, grant.slots, grant.valid_until,
                            grant.scarce);
  state_->RefreshAndServe();
}

void Dispatcher::OnUpstreams(
    const HostId& home,
    const std::vector<membership::Upstream>& upstreams) {
  std::scoped_lock lock(state_->mutex_);
  state_->table_.Update(home, upstreams, state_->slots_);
  state_->table_.Refresh(state_->slots_, state_->hooks_.now());
}

std::vector<membership::ResourceDemand> Dispatcher::Demands(bool include_idle) {
  std::scoped_lock lock(state_->mutex_);
  const TimePoint now = state_->hooks_.now();
  auto demands = state_->table_.Demands(state_->slots_, now, include_idle);
  for (const auto& [customer, state] : state_->customers_) {
    const std::string resource = membership::CustomerResource(customer);
    const membership::SlotDemand demand = state_->slots_.Demand(resource, now);
    // Slots that the host owns need no request; the request of 0 slots returns
    // idle granted ones.
    if (demand != membership::SlotDemand{} ||
        state_->slots_.Granted(resource) > 0) {
      demands.push_back({resource, DomainId(), demand});
    }
  }
  return demands;
}

std::vector<membership::UpstreamEvidence> Dispatcher::TakeEvidence(
    const HostId& home) {
  std::scoped_lock lock(state_->mutex_);
  return state_->table_.TakeEvidence(home);
}

void Dispatcher::Tick() {
  std::scoped_lock lock(state_->mutex_);
  state_->RefreshAndServe();
}

void Dispatcher::OnStoredPiece(const std::string& store,
                               const cache::StoredPiece& piece) {
  std::scoped_lock lock(state_->mutex_);
  state_->index_.Add(store, piece);
}

void Dispatcher::OnFreedPiece(const std::string& store,
                              const std::string& name,
                              std::uint64_t generation) {
  std::scoped_lock lock(state_->mutex_);
  state_->index_.Drop(store, name, generation);
}

void Dispatcher::OnStoreLost(const std::string& store) {
  std::scoped_lock lock(state_->mutex_);
  state_->index_.DropStore(store);
}

bool Dispatcher::TryBookExport(const std::string& store, std::int64_t bytes) {
  std::scoped_lock lock(state_->mutex_);
  const auto link = state_->links_.find(store);
  return link != state_->links_.end() &&
         link->second.TryReserveExport(bytes, state_->hooks_.now());
}

bool Dispatcher::IsStored(const std::string& piece) const {
  std::scoped_lock lock(state_->mutex_);
  return state_->index_.Holds(piece);
}

std::size_t Dispatcher::StoredPieces() const {
  std::scoped_lock lock(state_->mutex_);
  return state_->index_.size();
}

configuration::ConfigurationPtr Dispatcher::configuration() const {
  std::scoped_lock lock(state_->mutex_);
  return state_->configuration_;
}

Result<Placement, PlacementError> Dispatcher::Admit(
    const PlacementRequest& request) {
  return state_->Place(request, true);
}

Result<Placement, PlacementError> Dispatcher::PlaceRetry(
    const PlacementRequest& request) {
  return state_->Place(request, false);
}

bool Dispatcher::TryTakeRetry(const CustomerId& customer) {
  std::scoped_lock lock(state_->mutex_);
  return state_->customers_[customer].retries.TryTake();
}

void Dispatcher::OnFirstToken(const Placement& placement,
                              double first_token_ms) {
  std::scoped_lock lock(state_->mutex_);
  state_->table_.OnPrefillEnded(
      placement.upstream, placement.pieces.tokens - placement.cached_tokens);
  state_->table_.OnFirstToken(placement, first_token_ms);
}

void Dispatcher::Finish(const Placement& placement,
                        const std::string& class_name,
                        const AttemptReport& report) {
  state_->Finish(placement, class_name, report);
}

void Dispatcher::Release(const CustomerId& customer) {
  {
    std::scoped_lock lock(state_->mutex_);
    state_->customers_[customer].retries.OnSuccess();
  }
  state_->ReleaseCustomer(customer);
}

void Dispatcher::StopAdmitting() {
  std::scoped_lock lock(state_->mutex_);
  state_->stopping_ = true;
}

int Dispatcher::Running() const {
  std::scoped_lock lock(state_->mutex_);
  return state_->running_;
}

std::vector<ListedUpstream> Dispatcher::ListUpstreams() const {
  std::scoped_lock lock(state_->mutex_);
  std::vector<ListedUpstream> list;
  const auto views = state_->table_.views();
  for (std::size_t i = 0; i < views.size(); ++i)
    list.push_back({views[i], state_->table_.upstream(i).url});
  return list;
}

}  // namespace endivecart::entry
