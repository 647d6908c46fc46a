#include "endivecart/net/exchange_history.h"

#include <algorithm>

#include "endivecart/base/base.h"

namespace endivecart::net {

namespace {

bool Contains(const std::vector<std::uint64_t>& hashes, std::string_view id) {
  return std::find(hashes.begin(), hashes.end(), StableHash(id)) !=
         hashes.end();
}

}  // namespace

bool ExchangeHistory::MayCarry(std::string_view id) const {
  return id.empty() || (!IsFull() && !Contains(hashes_, id));
}

void ExchangeHistory::Begin(std::string_view id) {
  current_ = id;
  if (!id.empty())
    hashes_.push_back(StableHash(id));
}

ResponseOwner ExchangeHistory::OwnerOf(std::string_view response_id) const {
  if (current_.empty() || response_id == current_)
    return ResponseOwner::kCurrent;
  return Contains(hashes_, response_id) ? ResponseOwner::kEarlier
                                        : ResponseOwner::kUnknown;
}

}  // namespace endivecart::net
