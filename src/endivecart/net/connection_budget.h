#ifndef ENDIVECART_NET_CONNECTION_BUDGET_H_
#define ENDIVECART_NET_CONNECTION_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "endivecart/net/connection_choice.h"
#include "endivecart/net/rejection_log.h"

namespace endivecart::net {

class ConnectionBudget;

// What a part of the budget is for.
enum class HeldKind {
  kRequests,   // unparsed bytes, parsed fields, the connection itself
  kBodies,     // of requests
  kAnswers,    // upstreams' answers that are collected before they are sent
  kResponses,  // bytes that wait for the client to read
  kDocuments,  // parsed from bodies
  kCount,
};

// Returns the name used in metrics.
std::string_view HeldKindName(HeldKind kind);

// A part of a budget. Destroying it gives the part back.
class BudgetReservation {
 public:
  BudgetReservation() = default;
  BudgetReservation(BudgetReservation&& other) noexcept;
  BudgetReservation& operator=(BudgetReservation&& other) noexcept;
  ~BudgetReservation();

  std::size_t bytes() const { return bytes_; }

 private:
  friend class ConnectionBudget;
  BudgetReservation(std::shared_ptr<ConnectionBudget> budget,
                    HeldKind kind,
                    std::size_t bytes);
  void Release();

  std::shared_ptr<ConnectionBudget> budget_;
  HeldKind kind_ = HeldKind::kBodies;
  std::size_t bytes_ = 0;
};

// A connection that can be closed to make room.
class BudgetedConnection {
 public:
  virtual ~BudgetedConnection() = default;
  virtual ConnectionView View() const = 0;
  // Gives back what the connection holds, at once unless it is stalled.
  virtual void CloseForRoom() = 0;
  // The same without waiting for the client to read a rejection.
  virtual void CloseForRequest() = 0;
};

// Bounds the bytes that a process holds for its connections. A share is left to
// small parts, and one to basic parts. Where there is no room, connections are
// closed as ChooseForBytes() says, and for basic parts as ChooseForRequest()
// says: a basic part is rejected only if the requests that are being served
// hold the budget. Not thread-safe.
class ConnectionBudget : public std::enable_shared_from_this<ConnectionBudget> {
 public:
  // Parts of up to this size are small.
  static constexpr std::size_t kMaxSmallBytes = 64UL << 10;
  // Parts of up to this size are also basic: a connection, its request with
  // some 20 fields, a short body, a short answer.
  static constexpr std::size_t kMaxBasicBytes = 16UL << 10;

  static std::shared_ptr<ConnectionBudget> Create(std::size_t bytes);

  // Returns nullopt if there is no room, and counts the rejection.
  std::optional<BudgetReservation> TryReserve(
      std::size_t bytes,
      HeldKind kind = HeldKind::kBodies);
  // Changes the size of a part, which may be empty. Returns false, and changes
  // nothing, if there is no room.
  bool TryResize(BudgetReservation& part, HeldKind kind, std::size_t bytes);
  // The same for what is held already. It may pass the budget, so that other
  // parts are rejected until it is smaller.
  void Resize(BudgetReservation& part, HeldKind kind, std::size_t bytes);
  // Whether a part of this size has room while nothing else is held.
  bool CanEverHold(std::size_t bytes) const { return bytes <= LimitOf(bytes); }
  // Returns the share that only basic parts may use.
  std::size_t BasicShare() const;

  void Add(BudgetedConnection* connection) { connections_.insert(connection); }
  void Remove(BudgetedConnection* connection) {
    connections_.erase(connection);
  }

  std::size_t bytes() const { return bytes_; }
  // Of all kinds.
  std::size_t held_bytes() const { return held_; }
  std::size_t max_held_bytes() const { return max_held_; }
  std::size_t HeldBytesOf(HeldKind kind) const {
    return held_of_.at(static_cast<std::size_t>(kind));
  }
  // Of bodies.
  std::size_t reserved_bytes() const { return HeldBytesOf(HeldKind::kBodies); }
  std::size_t max_reserved_bytes() const { return max_reserved_; }
  std::uint64_t rejections() const { return rejections_; }
  RejectionLog& log() { return log_; }
  const RejectionLog& log() const { return log_; }

 private:
  friend class BudgetReservation;
  explicit ConnectionBudget(std::size_t bytes) : bytes_(bytes) {}
  std::size_t LimitOf(std::size_t bytes) const;
  bool HasRoom(std::size_t bytes) const;
  // Closes connections until there is room for a part of this size, if that is
  // possible.
  void MakeRoom(std::size_t bytes);
  // The same for a basic part, at once.
  void MakeRoomForRequest(std::size_t bytes);
  using Chooser = std::function<std::vector<std::size_t>(
      const std::vector<ConnectionView>&)>;
  // Returns whether any connection was chosen.
  bool CloseChosen(const Chooser& choose, void (BudgetedConnection::*close)());
  void Hold(HeldKind kind, std::size_t bytes);
  void Release(HeldKind kind, std::size_t bytes);

  const std::size_t bytes_;
  std::size_t held_ = 0;
  std::size_t large_ = 0;  // in parts that aren't small
  std::size_t basic_ = 0;  // in basic parts
  std::array<std::size_t, static_cast<std::size_t>(HeldKind::kCount)>
      held_of_{};
  std::size_t max_held_ = 0;
  std::size_t max_reserved_ = 0;
  std::uint64_t rejections_ = 0;
  bool is_making_room_ = false;
  int scans_to_skip_ = 0;
  std::set<BudgetedConnection*> connections_;
  RejectionLog log_;
};

using ConnectionBudgetPtr = std::shared_ptr<ConnectionBudget>;

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_CONNECTION_BUDGET_H_
