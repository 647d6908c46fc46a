#include "endivecart/net/connection_budget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace endivecart::net {

namespace {

// Large parts leave this fraction of the budget to small ones.
constexpr std::size_t kSmallPartDivisor = 4;
// Parts that aren't basic leave this fraction to basic ones. A crowd fills all
// that it may use with parts of up to 64 KB: on a host of 88 MB, 98 connections
// held the whole budget, and new ones were closed before they were read.
constexpr std::size_t kBasicPartDivisor = 8;
// More than is needed is freed, so that connections are chosen less often.
constexpr std::size_t kSpareDivisor = 16;

// After a scan that found nothing to close. A crowd asks for room more often
// than its connections reach the age at which they may be closed.
constexpr int kScansToSkip = 32;

bool IsLarge(std::size_t bytes) {
  return bytes > ConnectionBudget::kMaxSmallBytes;
}

bool IsBasic(std::size_t bytes) {
  return bytes <= ConnectionBudget::kMaxBasicBytes;
}

}  // namespace

std::string_view HeldKindName(HeldKind kind) {
  switch (kind) {
    case HeldKind::kRequests:
      return "requests";
    case HeldKind::kBodies:
      return "bodies";
    case HeldKind::kAnswers:
      return "answers";
    case HeldKind::kResponses:
      return "responses";
    case HeldKind::kDocuments:
      return "documents";
    case HeldKind::kCount:
      break;
  }
  return "unknown";
}

BudgetReservation::BudgetReservation(std::shared_ptr<ConnectionBudget> budget,
                                     HeldKind kind,
                                     std::size_t bytes)
    : budget_(std::move(budget)), kind_(kind), bytes_(bytes) {}

BudgetReservation::BudgetReservation(BudgetReservation&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)),
      kind_(other.kind_),
      bytes_(std::exchange(other.bytes_, 0)) {}

BudgetReservation& BudgetReservation::operator=(
    BudgetReservation&& other) noexcept {
  if (this != &other) {
    Release();
    budget_ = std::exchange(other.budget_, nullptr);
    kind_ = other.kind_;
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

BudgetReservation::~BudgetReservation() {
  Release();
}

void BudgetReservation::Release() {
  if (budget_)
    budget_->Release(kind_, bytes_);
  budget_ = nullptr;
  bytes_ = 0;
}

std::shared_ptr<ConnectionBudget> ConnectionBudget::Create(std::size_t bytes) {
  return std::shared_ptr<ConnectionBudget>(new ConnectionBudget(bytes));
}

std::size_t ConnectionBudget::LimitOf(std::size_t bytes) const {
  if (IsBasic(bytes))
    return bytes_;
  return IsLarge(bytes) ? bytes_ - bytes_ / kSmallPartDivisor
                        : bytes_ - BasicShare();
}

std::size_t ConnectionBudget::BasicShare() const {
  return bytes_ / kBasicPartDivisor;
}

bool ConnectionBudget::HasRoom(std::size_t bytes) const {
  // Responses may pass the budget, but don't take this share.
  if (IsBasic(bytes) && basic_ + bytes <= BasicShare())
    return true;
  if (held_ + bytes > bytes_)
    return false;
  if (IsBasic(bytes))
    return true;
  return held_ - basic_ + bytes <= bytes_ - BasicShare() &&
         (!IsLarge(bytes) || large_ + bytes <= LimitOf(bytes));
}

void ConnectionBudget::MakeRoom(std::size_t bytes) {
  if (is_making_room_ || !CanEverHold(bytes) || scans_to_skip_-- > 0)
    return;
  const bool has_closed = CloseChosen(
      [&](const std::vector<ConnectionView>& views) {
        return ChooseForBytes(views, bytes + bytes_ / kSpareDivisor);
      },
      &BudgetedConnection::CloseForRoom);
  scans_to_skip_ = has_closed ? 0 : kScansToSkip;
}

void ConnectionBudget::MakeRoomForRequest(std::size_t bytes) {
  if (is_making_room_)
    return;
  const auto choose = [&](const std::vector<ConnectionView>& views) {
    const std::size_t excess = held_ > bytes_ ? held_ - bytes_ : 0;
    return ChooseForRequest(views, excess + bytes, bytes_ / kSpareDivisor);
  };
  // Stalled connections give nothing back at once, and are chosen only once.
  while (!HasRoom(bytes) &&
         CloseChosen(choose, &BudgetedConnection::CloseForRequest)) {
  }
}

bool ConnectionBudget::CloseChosen(const Chooser& choose,
                                   void (BudgetedConnection::*close)()) {
  is_making_room_ = true;
  const std::vector<BudgetedConnection*> connections(connections_.begin(),
                                                     connections_.end());
  std::vector<ConnectionView> views;
  views.reserve(connections.size());
  for (const BudgetedConnection* connection : connections)
    views.push_back(connection->View());
  const auto chosen = choose(views);
  for (const std::size_t index : chosen) {
    // Closing one may have closed others.
    if (connections_.contains(connections[index]))
      (connections[index]->*close)();
  }
  is_making_room_ = false;
  return !chosen.empty();
}

std::optional<BudgetReservation> ConnectionBudget::TryReserve(std::size_t bytes,
                                                              HeldKind kind) {
  BudgetReservation part;
  if (!TryResize(part, kind, bytes))
    return std::nullopt;
  return part;
}

bool ConnectionBudget::TryResize(BudgetReservation& part,
                                 HeldKind kind,
                                 std::size_t bytes) {
  // Without the old part, which is counted again if there is no room.
  const std::size_t old_bytes = part.bytes();
  part.Release();
  if (bytes > old_bytes && !HasRoom(bytes)) {
    if (IsBasic(bytes)) {
      MakeRoomForRequest(bytes);
    } else {
      MakeRoom(bytes);
    }
  }
  const bool has_room = bytes <= old_bytes || HasRoom(bytes);
  if (!has_room)
    ++rejections_;
  Resize(part, kind, has_room ? bytes : old_bytes);
  if (has_room && bytes > old_bytes && kind != HeldKind::kResponses) {
    CheckInvariant(
        held_ <= bytes_ || (IsBasic(bytes) && basic_ <= BasicShare()),
        Invariant::kConnectionBudget, "a part was admitted beyond the budget");
  }
  return has_room;
}

void ConnectionBudget::Resize(BudgetReservation& part,
                              HeldKind kind,
                              std::size_t bytes) {
  part.Release();
  if (bytes == 0)
    return;
  Hold(kind, bytes);
  part = BudgetReservation(shared_from_this(), kind, bytes);
  if (held_ > bytes_)
    MakeRoom(held_ - bytes_);
}

void ConnectionBudget::Hold(HeldKind kind, std::size_t bytes) {
  held_ += bytes;
  large_ += IsLarge(bytes) ? bytes : 0;
  basic_ += IsBasic(bytes) ? bytes : 0;
  held_of_.at(static_cast<std::size_t>(kind)) += bytes;
  max_held_ = std::max(max_held_, held_);
  max_reserved_ = std::max(max_reserved_, reserved_bytes());
}

void ConnectionBudget::Release(HeldKind kind, std::size_t bytes) {
  std::size_t& of_kind = held_of_.at(static_cast<std::size_t>(kind));
  const std::size_t large = IsLarge(bytes) ? bytes : 0;
  const std::size_t basic = IsBasic(bytes) ? bytes : 0;
  if (!CheckInvariant(of_kind >= bytes && held_ >= bytes && large_ >= large &&
                          basic_ >= basic,
                      Invariant::kConnectionBudget,
                      "more was given back than was held")) {
    return;
  }
  of_kind -= bytes;
  held_ -= bytes;
  large_ -= large;
  basic_ -= basic;
}

}  // namespace endivecart::net
