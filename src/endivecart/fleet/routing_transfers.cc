#include "endivecart/fleet/routing_transfers.h"

#include <algorithm>

#include "endivecart/fleet/document_codec.h"

namespace endivecart::fleet {

namespace {

constexpr std::size_t kMillisPerSecond = 1000;

Millis LostAfter(std::size_t bytes) {
  return RoutingTransfers::kConfirmTime +
         Millis(static_cast<Millis::rep>(
             bytes * kMillisPerSecond /
             RoutingTransfers::kSlowestLinkBytesPerSecond));
}

}  // namespace

void RoutingTransfers::SetDocument(std::uint64_t version,
                                   const std::string& document) {
  if (version == version_)
    return;
  if (version_ != 0) {
    base_bytes_ += document_.size();
    bases_.emplace_back(version_, std::move(document_));
  }
  while (!bases_.empty() &&
         (bases_.size() > kMaxBases || base_bytes_ > kMaxBaseBytes)) {
    base_bytes_ -= bases_.front().second.size();
    bases_.pop_front();
  }
  version_ = version;
  document_ = document;
  encoded_.clear();
}

void RoutingTransfers::EndTransfer(Follower& follower) {
  if (!follower.transfer)
    return;
  bytes_under_way_ -= follower.transfer->bytes;
  follower.transfer.reset();
}

void RoutingTransfers::OnPoll(const HostId& from,
                              const RoutingPosition& at,
                              TimePoint now) {
  Follower& follower = followers_[from];
  if (follower.transfer) {
    const Transfer& transfer = *follower.transfer;
    const bool is_over = at.incarnation != follower.at.incarnation ||
                         at.routing_version >= transfer.version ||
                         now - transfer.sent_at >= LostAfter(transfer.bytes);
    if (is_over)
      EndTransfer(follower);
  }
  follower.at = at;
}

void RoutingTransfers::OnReceipt(const HostId& from,
                                 const RoutingPosition& at) {
  const auto it = followers_.find(from);
  if (it == followers_.end() || it->second.at.incarnation != at.incarnation)
    return;
  EndTransfer(it->second);
  it->second.at = at;
}

void RoutingTransfers::Remove(const HostId& follower) {
  const auto it = followers_.find(follower);
  if (it == followers_.end())
    return;
  EndTransfer(it->second);
  std::erase(waiting_, follower);
  followers_.erase(it);
}

const std::string* RoutingTransfers::FindBase(std::uint64_t version) const {
  const auto it = std::find_if(
      bases_.begin(), bases_.end(),
      [version](const auto& base) { return base.first == version; });
  return it == bases_.end() ? nullptr : &it->second;
}

const wire::EncodedDocument* RoutingTransfers::EncodedFor(
    const Follower& follower) {
  if (!follower.at.reads_encoded)
    return nullptr;
  const std::string* base =
      follower.at.needs_whole ? nullptr : FindBase(follower.at.routing_version);
  const std::uint64_t base_version = base ? follower.at.routing_version : 0;
  const auto [it, is_new] = encoded_.try_emplace(base_version);
  if (is_new) {
    ++encoded_count_;
    it->second = EncodeDocument(document_, base_version,
                                base ? std::string_view(*base) : "");
    if (!it->second) {
      LogLine("fleet.document_not_encoded")
          .Add("version", version_)
          .Add("base_version", base_version)
          .Warn();
    }
  }
  return it->second ? &*it->second : nullptr;
}

void RoutingTransfers::AddDocument(const HostId& to,
                                   wire::FleetDecisions& message,
                                   TimePoint now) {
  Follower& follower = followers_[to];
  if (follower.transfer || follower.at.routing_version >= version_)
    return;
  const wire::EncodedDocument* encoded = EncodedFor(follower);
  const std::size_t bytes =
      encoded != nullptr ? encoded->frame().size() : document_.size();
  if (bytes_under_way_ > 0 && bytes_under_way_ + bytes > kMaxBytesUnderWay) {
    if (!std::exchange(follower.is_waiting, true))
      waiting_.push_back(to);
    return;
  }
  if (encoded != nullptr) {
    *message.mutable_encoded_routing() = *encoded;
  } else {
    message.set_routing_document(document_);
    message.clear_routing_omitted();
  }
  follower.transfer = {version_, bytes, now};
  bytes_under_way_ += bytes;
}

std::optional<HostId> RoutingTransfers::TakeWaiting() {
  if (waiting_.empty() || bytes_under_way_ >= kMaxBytesUnderWay)
    return std::nullopt;
  HostId host = std::move(waiting_.front());
  waiting_.pop_front();
  followers_[host].is_waiting = false;
  return host;
}

}  // namespace endivecart::fleet
