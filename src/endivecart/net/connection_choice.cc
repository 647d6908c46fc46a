#include "endivecart/net/connection_choice.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace endivecart::net {

namespace {

bool MayCloseForBytes(const ConnectionView& connection) {
  return connection.stage != ConnectionStage::kServed &&
         connection.held_bytes > 0 && connection.age >= kMinCloseAge;
}

// Of connections on which no request was answered.
constexpr int kStrangerRank = 1;

// Lower ranks are closed first; nullopt: not at all.
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
  if (connection.age < kMinCloseAge)
    return std::nullopt;
  return connection.stage == ConnectionStage::kIdle ? 3 : 2;
}

}  // namespace

std::vector<std::size_t> ChooseForBytes(
    const std::vector<ConnectionView>& connections,
    std::size_t bytes) {
  std::map<std::string, std::size_t> bytes_of_address;
  for (const ConnectionView& connection : connections)
    bytes_of_address[connection.address] += connection.held_bytes;
  std::vector<std::pair<double, std::size_t>> candidates;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const ConnectionView& connection = connections[i];
    if (!MayCloseForBytes(connection))
      continue;
    const double score =
        static_cast<double>(connection.held_bytes) *
        static_cast<double>(connection.age.count()) *
        static_cast<double>(bytes_of_address[connection.address]);
    candidates.emplace_back(-score, i);
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

std::vector<std::size_t> ChooseForSlots(
    const std::vector<ConnectionView>& connections,
    std::size_t count) {
  std::vector<std::tuple<int, Millis, std::size_t>> candidates;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    if (const auto rank = SlotRank(connections[i]))
      candidates.emplace_back(*rank, -connections[i].age, i);
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
