#include "endivecart/limits/room_limiter.h"

#include <algorithm>

namespace endivecart::limits {

namespace {

// Returns this host's position in the line of hosts for an upstream, if it
// begins `shift` hosts later.
int PositionOf(const Room& room, const HostRank& rank, std::uint64_t shift) {
  const auto hosts = static_cast<std::uint64_t>(rank.hosts);
  const auto first =
      static_cast<std::uint64_t>(room.place * static_cast<double>(rank.hosts)) +
      shift;
  return static_cast<int>(
      (static_cast<std::uint64_t>(rank.rank) + hosts - first % hosts) % hosts);
}

// Returns whether it is this host's turn to exceed its share by one.
bool IsTurn(const Room& room, const HostRank& rank, TimePoint now) {
  // Until hosts know of each other's requests, as many again may follow.
  const int in_turn = std::max(1, (room.slots / 2 - room.requests) / 2);
  const auto turn =
      static_cast<std::uint64_t>(now.time_since_epoch() / RoomLimiter::kTurn);
  return PositionOf(room, rank, turn * static_cast<std::uint64_t>(in_turn)) <
         in_turn;
}

}  // namespace

int ShareOfSlots(const Room& room, const HostRank& rank) {
  if (rank.hosts <= 0)
    return 0;
  const int rest = room.slots % rank.hosts;
  return room.slots / rank.hosts + (PositionOf(room, rank, 0) < rest ? 1 : 0);
}

bool RoomLimiter::HasRoom(const std::string& upstream_run,
                          const Room& room,
                          TimePoint refused_at,
                          const HostRank& rank,
                          TimePoint now) const {
  if (rank.hosts <= 0)
    return false;
  const auto paused = paused_until_.find(upstream_run);
  if (paused != paused_until_.end() && now < paused->second)
    return false;
  const int share = ShareOfSlots(room, rank);
  if (room.own < share)
    return true;
  const bool is_strict =
      refused_at != TimePoint{} && now - refused_at < kStrictTime;
  return !is_strict && room.own == share && 2 * room.requests < room.slots &&
         IsTurn(room, rank, now);
}

void RoomLimiter::OnRefused(const std::string& upstream_run,
                            double refusals_per_s,
                            const HostRank& rank,
                            TimePoint now) {
  // So that all hosts together get no more refusals, if each gets one after
  // each of its pauses.
  const double factor =
      std::max(1.0, rank.hosts / std::max(refusals_per_s, 1.0));
  const auto pause = std::min<Millis>(
      kMaxPause, Millis(static_cast<Millis::rep>(
                     factor * static_cast<double>(kPause.count()))));
  paused_until_[upstream_run] = now + pause;
  if (paused_until_.size() > kMaxUpstreams)
    Expire(now);
}

void RoomLimiter::Expire(TimePoint now) {
  std::erase_if(paused_until_,
                [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace endivecart::limits
