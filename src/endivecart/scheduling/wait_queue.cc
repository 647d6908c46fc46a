#include "endivecart/scheduling/wait_queue.h"

#include <algorithm>

namespace endivecart::scheduling {

namespace {

// Number of priority levels that upstreams accept.
constexpr int kPriorities = 10;
// Positions of late requests, after those of all ranks that can be on time.
constexpr int kLate = 1000000;
// Requests that have waited this long may use the reserved share.
constexpr Millis kMinWaitForShare{300};
// Capacity is held back for at most this long for a request that does not fit:
// other hosts may take it meanwhile.
constexpr Millis kMaxHoldBack{500};
// Requests of a group that may find no room in one round, and as many again
// that are much smaller than those.
constexpr int kMaxMisses = 3;

}  // namespace

int RankOf(int urgency, int route_priority) {
  return urgency * kPriorities + std::min(route_priority, kPriorities - 1);
}

bool WaitQueue::Misses::MayTry(const WaitingRequest& request) const {
  if (count < kMaxMisses)
    return true;
  return count < 2 * kMaxMisses && request.work_tokens < least_tokens / 2;
}

void WaitQueue::Misses::Add(const WaitingRequest& request) {
  ++count;
  least_tokens = std::min(least_tokens, request.work_tokens);
}

WaitQueue::Group& WaitQueue::GroupOf(const std::string& name) {
  return groups_.try_emplace(name, StableHash(name, seed_)).first->second;
}

WaitQueue::Ticket WaitQueue::Add(const WaitingRequest& request, TimePoint now) {
  Group& group = GroupOf(request.group);
  group.backlog.Advance(group.is_scarce, now);
  ++group.waiting;
  const Ticket ticket = next_++;
  Entry& entry = waiting_[ticket];
  entry.request = request;
  entry.since = now;
  entry.group = &group;
  entry.membership = group.backlog.OnArrival(request, now);
  return ticket;
}

void WaitQueue::Remove(Ticket ticket, TimePoint now) {
  const auto it = waiting_.find(ticket);
  if (it == waiting_.end())
    return;
  Group& group = *it->second.group;
  group.backlog.Advance(group.is_scarce, now);
  Backlog::OnEnd(it->second.membership, it->second.comes_back, now);
  if (group.due && group.due->ticket == ticket)
    group.due.reset();
  if (--group.waiting == 0)
    group.is_scarce = false;
  waiting_.erase(it);
}

bool WaitQueue::IsScarce(const std::string& group) const {
  const auto it = groups_.find(group);
  return it != groups_.end() && it->second.is_scarce;
}

WaitQueue::Key WaitQueue::KeyOf(Ticket ticket,
                                const Entry& entry,
                                TimePoint now) {
  const WaitingRequest& request = entry.request;
  const auto& due = entry.group->due;
  const bool is_due = due && due->ticket == ticket;
  const bool is_late = IsLate(request, now);
  // Even positions: can be on time, by rank. A late one is worth a third or
  // less of its value, so that it goes behind all that can be on time, unless
  // its rank has been admitted less often than a less urgent one.
  int position = 2 * request.rank;
  if (is_late && !is_due) {
    const auto before = entry.membership.rank->late_before;
    position = before ? 2 * *before - 1 : kLate;
  }
  return {is_due && due->uses_share ? -1 : position,
          request.rank,
          !is_due,
          entry.membership.customer->is_over_share,
          is_late ? request.arrived_at : request.latest_start,
          ticket};
}

std::vector<WaitQueue::Ticket> WaitQueue::Sorted(TimePoint now) {
  for (auto& [name, group] : groups_)
    group.backlog.Refresh(now);
  std::vector<Key> keys;
  keys.reserve(waiting_.size());
  for (const auto& [ticket, entry] : waiting_)
    keys.push_back(KeyOf(ticket, entry, now));
  std::sort(keys.begin(), keys.end());
  std::vector<Ticket> order;
  order.reserve(keys.size());
  for (const Key& key : keys)
    order.push_back(std::get<Ticket>(key));
  return order;
}

void WaitQueue::ChooseDue(TimePoint now) {
  struct Best {
    std::optional<std::pair<Key, Ticket>> neglected;
    std::optional<std::pair<TimePoint, Ticket>> oldest;
  };
  std::map<Group*, Best> best;
  for (const auto& [ticket, entry] : waiting_) {
    Group* const group = entry.group;
    group->largest_tokens =
        std::max(group->largest_tokens, entry.request.work_tokens);
    if (group->due || now < group->in_order_until)
      continue;
    if (entry.membership.IsNeglected()) {
      auto& first = best[group].neglected;
      const std::pair candidate{KeyOf(ticket, entry, now), ticket};
      if (!first || candidate < *first)
        first = candidate;
    }
    const TimePoint arrived = entry.request.arrived_at;
    if (now - arrived >= kMinWaitForShare) {
      auto& first = best[group].oldest;
      if (!first || std::pair(arrived, ticket) < *first)
        first = {arrived, ticket};
    }
  }
  for (auto& [group, found] : best) {
    if (found.neglected) {
      const Ticket ticket = found.neglected->second;
      group->due = Due{ticket, now, waiting_.at(ticket).request.rank};
      continue;
    }
    if (!found.oldest)
      continue;
    const Ticket ticket = found.oldest->second;
    const WaitingRequest& request = waiting_.at(ticket).request;
    if (group->backlog.credit() >= static_cast<double>(request.work_tokens))
      group->due = Due{ticket, now, request.rank, true};
  }
}

std::vector<WaitQueue::Ticket> WaitQueue::StartRound(TimePoint now) {
  for (auto& [name, group] : groups_) {
    group.misses = {};
    group.largest_tokens = 0;
    if (group.due)
      group.due->holds_back = false;
  }
  ChooseDue(now);
  return Sorted(now);
}

bool WaitQueue::MayTry(const Entry& entry) {
  const Group& group = *entry.group;
  const bool is_held_back = group.due && group.due->holds_back &&
                            entry.request.rank >= group.due->rank;
  return !is_held_back && group.misses.MayTry(entry.request);
}

bool WaitQueue::UsesShare(Ticket ticket, const Entry& entry) {
  const auto& due = entry.group->due;
  return due && due->ticket == ticket && due->uses_share;
}

void WaitQueue::OnAdmitted(const Entry& entry, bool uses_share, TimePoint now) {
  entry.group->backlog.OnAdmitted(
      entry.request, entry.membership, uses_share,
      static_cast<double>(entry.group->largest_tokens), now);
  ClassFigures& figures = FiguresOf(entry.request);
  ++figures.admitted;
  figures.longest_wait_ms =
      std::max(figures.longest_wait_ms, MillisBetween(entry.since, now));
}

void WaitQueue::OnNotPlaced(Ticket ticket, TryResult result, TimePoint now) {
  const auto it = waiting_.find(ticket);
  if (it == waiting_.end())
    return;
  Entry& entry = it->second;
  Group& group = *entry.group;
  group.misses.Add(entry.request);
  entry.tried_at = now;
  entry.saw_spare = result == TryResult::kSpare;
  group.backlog.Advance(group.is_scarce, now);
  group.is_scarce = result == TryResult::kFull;
  if (!group.due || group.due->ticket != ticket)
    return;
  if (now - group.due->since <= kMaxHoldBack) {
    // With spare capacity, others take nothing from it.
    group.due->holds_back = result == TryResult::kFull;
    return;
  }
  if (group.due->uses_share)
    group.backlog.UseCredit(static_cast<double>(entry.request.work_tokens));
  group.due.reset();
  group.in_order_until = now + kMaxHoldBack;
}

WaitQueue::ClassFigures& WaitQueue::FiguresOf(const WaitingRequest& request) {
  ClassFigures& figures = figures_[{request.group, request.rank}];
  figures.group = request.group;
  figures.rank = request.rank;
  return figures;
}

std::vector<WaitQueue::ClassFigures> WaitQueue::TakeFigures(TimePoint now) {
  for (const auto& [ticket, entry] : waiting_) {
    ClassFigures& figures = FiguresOf(entry.request);
    ++figures.waiting;
    figures.late += IsLate(entry.request, now) ? 1 : 0;
    figures.work_tokens += entry.request.work_tokens;
    figures.oldest_ms =
        std::max(figures.oldest_ms, MillisBetween(entry.since, now));
  }
  std::vector<ClassFigures> taken;
  for (auto& [key, figures] : figures_) {
    figures.tokens_per_ms =
        GroupOf(figures.group).backlog.Rate(now).value_or(0);
    taken.push_back(figures);
  }
  figures_.clear();
  for (auto& [name, group] : groups_)
    group.backlog.Forget(now);
  return taken;
}

}  // namespace endivecart::scheduling
