#include "endivecart/net/connection_choice.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

namespace endivecart::net {

namespace {

bool MayCloseForBytes(const ConnectionView& connection) {
  return connection.stage != ConnectionStage::kServed &&
         connection.held_bytes > 0 && connection.age >= kMinCloseAge;
}

// Lower ranks are closed first; nullopt: not at all.
enum class RequestRank { kNoProgress, kYoung, kKept, kStalled };

std::optional<RequestRank> RequestRankOf(const ConnectionView& connection) {
  if (connection.stage == ConnectionStage::kServed ||
      connection.held_bytes == 0) {
    return std::nullopt;
  }
  if (connection.stage == ConnectionStage::kIdle && connection.was_answered)
    return RequestRank::kKept;
  if (connection.age >= kMinCloseAge)
    return RequestRank::kNoProgress;
  return connection.stage == ConnectionStage::kStalled ? RequestRank::kStalled
                                                       : RequestRank::kYoung;
}

// Higher scores are closed first.
std::vector<double> ScoresOf(const std::vector<ConnectionView>& connections) {
  std::map<std::string_view, std::size_t> bytes_of_address;
  for (const ConnectionView& connection : connections)
    bytes_of_address[connection.address] += connection.held_bytes;
  std::vector<double> scores;
  scores.reserve(connections.size());
  for (const ConnectionView& connection : connections) {
    // Those of age 0 are ordered by their bytes.
    scores.push_back(static_cast<double>(connection.held_bytes) *
                     static_cast<double>(connection.age.count() + 1) *
                     static_cast<double>(bytes_of_address[connection.address]));
  }
  return scores;
}

// Of connections on which no request was answered.
constexpr int kStrangerRank = 1;
// Of the newest of these.
constexpr int kNewestRank = 5;

// The same for slots.
std::optional<int> SlotRank(const ConnectionView& connection) {
  switch (connection.stage) {
    case ConnectionStage::kLingering:
      return 0;
    case ConnectionStage::kIdle:
    case ConnectionStage::kReceiving:
      if (!connection.was_answered)
        return kStrangerRank;
      break;
    case ConnectionStage::kStalled:
      break;
    case ConnectionStage::kServed:
      return std::nullopt;
  }
  const bool is_young = connection.age < kMinCloseAge;
  if (connection.stage == ConnectionStage::kIdle)
    return is_young ? std::nullopt : std::optional(3);
  return is_young ? 4 : 2;
}

}  // namespace

std::vector<std::size_t> ChooseForBytes(
    const std::vector<ConnectionView>& connections,
    std::size_t bytes) {
  const std::vector<double> scores = ScoresOf(connections);
  std::vector<std::pair<double, std::size_t>> candidates;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    if (MayCloseForBytes(connections[i]))
      candidates.emplace_back(-scores[i], i);
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<std::size_t> chosen;
  std::size_t freed = 0;
  for (const auto& [score, index] : candidates) {
    if (freed >= bytes)
      break;
    freed += connections[index].held_bytes;
    chosen.push_back(index);
  }
  return chosen;
}

std::vector<std::size_t> ChooseForRequest(
    const std::vector<ConnectionView>& connections,
    std::size_t bytes,
    std::size_t spare) {
  const std::vector<double> scores = ScoresOf(connections);
  std::vector<std::tuple<RequestRank, double, std::uint64_t, std::size_t>>
      candidates;
  std::size_t young_bytes = 0;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const auto rank = RequestRankOf(connections[i]);
    if (!rank)
      continue;
    candidates.emplace_back(*rank, -scores[i], connections[i].number, i);
    if (*rank == RequestRank::kYoung)
      young_bytes += connections[i].held_bytes;
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<std::size_t> chosen;
  std::size_t freed = 0;
  std::size_t freed_of_young = 0;
  for (const auto& [rank, score, number, index] : candidates) {
    const std::size_t held = connections[index].held_bytes;
    const bool may_be_spare = rank == RequestRank::kNoProgress ||
                              (rank == RequestRank::kYoung &&
                               freed_of_young + held <= young_bytes / 2);
    if (freed >= bytes + (may_be_spare ? spare : 0))
      break;
    freed += held;
    freed_of_young += rank == RequestRank::kYoung ? held : 0;
    chosen.push_back(index);
  }
  return chosen;
}

std::vector<std::size_t> ChooseForSlots(
    const std::vector<ConnectionView>& connections,
    std::size_t count) {
  std::vector<std::tuple<int, Millis, std::size_t>> candidates;
  std::vector<std::pair<std::uint64_t, std::size_t>> strangers;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const auto rank = SlotRank(connections[i]);
    if (rank == kStrangerRank) {
      strangers.emplace_back(connections[i].number, i);
    } else if (rank) {
      candidates.emplace_back(*rank, -connections[i].age, i);
    }
  }
  std::sort(strangers.begin(), strangers.end());
  const std::size_t newest = connections.size() / kNewestDivisor;
  for (std::size_t i = 0; i < strangers.size(); ++i) {
    const std::size_t index = strangers[i].second;
    const bool is_newest = i + newest >= strangers.size();
    candidates.emplace_back(is_newest ? kNewestRank : kStrangerRank,
                            -connections[index].age, index);
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<std::size_t> chosen;
  for (const auto& [rank, age, index] : candidates) {
    if (chosen.size() == count || (rank > kStrangerRank && !chosen.empty()))
      break;
    chosen.push_back(index);
  }
  return chosen;
}

}  // namespace endivecart::net
