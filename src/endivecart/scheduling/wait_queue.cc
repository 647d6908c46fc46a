#include "endivecart/scheduling/wait_queue.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace endivecart::scheduling {

namespace {

// Number of priority levels that upstreams accept.
constexpr int kPriorities = 10;
// Requests that have waited this long may use the reserved share.
constexpr Millis kMinWaitForShare{300};
// Capacity is held back for at most this long for a request that does not fit:
// other hosts may take it meanwhile.
constexpr Millis kMaxHoldBack{500};
// Requests of a group that may find no room in one round, and as many again
// that are much smaller than those.
constexpr int kMaxMisses = 3;
// Credit for the reserved share is kept for so many of the largest requests.
constexpr double kMaxCredit = 2;

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

WaitQueue::Ticket WaitQueue::Add(const WaitingRequest& request, TimePoint now) {
  Backlog& backlog = backlogs_[request.group];
  backlog.Advance(HasBacklog(request.group), now);
  backlog.OnArrival(request, now);
  const Ticket ticket = next_++;
  waiting_[ticket] = {request, now};
  return ticket;
}

void WaitQueue::Remove(Ticket ticket, TimePoint now) {
  const auto it = waiting_.find(ticket);
  if (it == waiting_.end())
    return;
  const std::string& group = it->second.request.group;
  backlogs_[group].Advance(true, now);
  const auto due = due_.find(group);
  if (due != due_.end() && due->second.ticket == ticket)
    due_.erase(due);
  waiting_.erase(it);
}

bool WaitQueue::HasBacklog(const std::string& group) const {
  return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& entry) {
    return entry.second.request.group == group;
  });
}

std::vector<WaitQueue::Ticket> WaitQueue::Sorted(TimePoint now) const {
  std::map<std::string, std::set<CustomerId>> over_share;
  for (const auto& [group, backlog] : backlogs_)
    over_share[group] = backlog.CustomersOverShare(now);
  using Key = std::tuple<int, bool, bool, TimePoint, Ticket>;
  std::vector<Key> keys;
  keys.reserve(waiting_.size());
  for (const auto& [ticket, entry] : waiting_) {
    const WaitingRequest& request = entry.request;
    const bool is_late = IsLate(request, now);
    keys.emplace_back(request.rank, is_late,
                      over_share[request.group].contains(request.customer),
                      is_late ? request.arrived_at : request.latest_start,
                      ticket);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<Ticket> order;
  order.reserve(keys.size());
  for (const Key& key : keys)
    order.push_back(std::get<Ticket>(key));
  return order;
}

std::optional<WaitQueue::Due> WaitQueue::FindDue(
    const std::string& group,
    const std::vector<Ticket>& order,
    TimePoint now) const {
  const auto paused = in_order_until_.find(group);
  if (paused != in_order_until_.end() && now < paused->second)
    return std::nullopt;
  const Backlog& backlog = backlogs_.at(group);
  std::optional<Ticket> longest;
  for (const Ticket ticket : order) {
    const WaitingRequest& request = waiting_.at(ticket).request;
    if (request.group != group)
      continue;
    if (backlog.IsNeglected(request, now))
      return Due{ticket, now};
    if (now - request.arrived_at >= kMinWaitForShare &&
        (!longest ||
         request.arrived_at < waiting_.at(*longest).request.arrived_at)) {
      longest = ticket;
    }
  }
  if (longest &&
      backlog.credit() >=
          static_cast<double>(waiting_.at(*longest).request.work_tokens))
    return Due{*longest, now, true};
  return std::nullopt;
}

std::vector<WaitQueue::Ticket> WaitQueue::TicketsInOrder(TimePoint now) {
  const std::vector<Ticket> sorted = Sorted(now);
  std::vector<Ticket> order;
  order.reserve(sorted.size());
  for (const auto& [group, backlog] : backlogs_) {
    if (!due_.contains(group)) {
      const auto due = FindDue(group, sorted, now);
      if (!due)
        continue;
      due_[group] = *due;
    }
    due_[group].holds_back = false;
    order.push_back(due_[group].ticket);
  }
  for (const Ticket ticket : sorted) {
    if (std::find(order.begin(), order.end(), ticket) == order.end())
      order.push_back(ticket);
  }
  return order;
}

bool WaitQueue::IsHeldBack(const Entry& entry) const {
  const auto it = due_.find(entry.request.group);
  if (it == due_.end() || !it->second.holds_back)
    return false;
  const auto due = waiting_.find(it->second.ticket);
  return due != waiting_.end() &&
         entry.request.rank >= due->second.request.rank;
}

bool WaitQueue::UsesShare(Ticket ticket, const Entry& entry) const {
  const auto it = due_.find(entry.request.group);
  return it != due_.end() && it->second.ticket == ticket &&
         it->second.uses_share;
}

void WaitQueue::OnAdmitted(const Entry& entry, bool uses_share, TimePoint now) {
  const WaitingRequest& request = entry.request;
  const auto work = static_cast<double>(request.work_tokens);
  Backlog& backlog = backlogs_[request.group];
  backlog.OnAdmitted(request, now);
  ClassFigures& figures = FiguresOf(request);
  ++figures.admitted;
  figures.longest_wait_ms =
      std::max(figures.longest_wait_ms, MillisBetween(entry.since, now));
  if (uses_share) {
    backlog.UseCredit(work);
    return;
  }
  double largest = work;
  for (const auto& [other, waiting] : waiting_) {
    if (waiting.request.group == request.group) {
      largest =
          std::max(largest, static_cast<double>(waiting.request.work_tokens));
    }
  }
  backlog.AddCredit(work, kMaxCredit * largest);
}

void WaitQueue::OnNotPlaced(Ticket ticket, const Entry& entry, TimePoint now) {
  const auto it = due_.find(entry.request.group);
  if (it == due_.end() || it->second.ticket != ticket)
    return;
  if (now - it->second.since <= kMaxHoldBack) {
    it->second.holds_back = true;
    return;
  }
  if (it->second.uses_share) {
    backlogs_[entry.request.group].UseCredit(
        static_cast<double>(entry.request.work_tokens));
  }
  due_.erase(it);
  in_order_until_[entry.request.group] = now + kMaxHoldBack;
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
    figures.tokens_per_ms = backlogs_[figures.group].Rate(now).value_or(0);
    taken.push_back(figures);
  }
  figures_.clear();
  return taken;
}

}  // namespace endivecart::scheduling
