#ifndef ENDIVECART_FLEET_ROUTING_TRANSFERS_H_
#define ENDIVECART_FLEET_ROUTING_TRANSFERS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "endivecart/base/base.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// What a follower says that it has.
struct RoutingPosition {
  std::uint64_t incarnation = 0;      // of the process
  std::uint64_t routing_version = 0;  // 0: none
  bool reads_encoded = false;
  bool needs_whole = false;  // the document of that version can't be a base

  bool operator==(const RoutingPosition&) const = default;
};

// Decides when each follower of a control host is sent the routing document and
// in which form, when changes of a large document come faster than the hosts'
// links carry it whole. At most one transfer to a follower is under way, and
// the next one is that of the newest version. A follower gets the difference
// from the version that it has, if that is known here. The bytes of the
// transfers under way to all followers are bounded.
class RoutingTransfers {
 public:
  // A transfer is taken for lost if a poll that comes later than this, plus the
  // time of its bytes on the slowest link, doesn't confirm it.
  static constexpr Millis kConfirmTime{250};
  static constexpr std::size_t kSlowestLinkBytesPerSecond = 100UL << 10;
  // A document that is larger is sent to one follower at a time.
  static constexpr std::size_t kMaxBytesUnderWay = 16UL << 20;
  // Earlier documents that are kept, as bases of differences.
  static constexpr std::size_t kMaxBases = 8;
  static constexpr std::size_t kMaxBaseBytes = 8UL << 20;

  // Sets the newest document. Versions only increase.
  void SetDocument(std::uint64_t version, const std::string& document);
  // What a follower's poll says, which may have been sent before a transfer
  // arrived.
  void OnPoll(const HostId& from, const RoutingPosition& at, TimePoint now);
  // What a follower says that has received the transfer under way.
  void OnReceipt(const HostId& from, const RoutingPosition& at);
  void Remove(const HostId& follower);

  // Adds the newest document to `message`, which omits it, if the follower has
  // an older one and can be sent it now. A follower that must wait because of
  // kMaxBytesUnderWay is returned by a later TakeWaiting().
  void AddDocument(const HostId& to,
                   wire::FleetDecisions& message,
                   TimePoint now);
  // Returns a follower that had to wait and might be sent the document now.
  std::optional<HostId> TakeWaiting();
  std::size_t waiting() const { return waiting_.size(); }
  // Bytes that were sent and whose receipt has not been confirmed.
  std::size_t bytes_under_way() const { return bytes_under_way_; }
  // Documents that were encoded, once for all followers with the same base.
  std::uint64_t encoded() const { return encoded_count_; }

 private:
  struct Transfer {
    std::uint64_t version = 0;
    std::size_t bytes = 0;
    TimePoint sent_at;
  };
  struct Follower {
    RoutingPosition at;
    std::optional<Transfer> transfer;  // under way
    bool is_waiting = false;
  };

  void EndTransfer(Follower& follower);
  // Returns the newest document in a form for this follower, or null if it must
  // be sent as it is.
  const wire::EncodedDocument* EncodedFor(const Follower& follower);
  const std::string* FindBase(std::uint64_t version) const;

  std::uint64_t version_ = 0;
  std::string document_;
  // Earlier documents by version, the newest last.
  std::deque<std::pair<std::uint64_t, std::string>> bases_;
  std::size_t base_bytes_ = 0;
  // Forms of the newest document by base; nullopt if it can't be encoded.
  std::map<std::uint64_t, std::optional<wire::EncodedDocument>> encoded_;
  std::map<HostId, Follower> followers_;
  std::deque<HostId> waiting_;
  std::size_t bytes_under_way_ = 0;
  std::uint64_t encoded_count_ = 0;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_ROUTING_TRANSFERS_H_
