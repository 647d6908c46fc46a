#ifndef ENDIVECART_NET_BODY_BUDGET_H_
#define ENDIVECART_NET_BODY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace endivecart::net {

class BodyBudget;

// A part of a budget. Destroying it gives the part back.
class BodyReservation {
 public:
  BodyReservation() = default;
  BodyReservation(BodyReservation&& other) noexcept;
  BodyReservation& operator=(BodyReservation&& other) noexcept;
  ~BodyReservation();

  std::size_t bytes() const { return bytes_; }

 private:
  friend class BodyBudget;
  BodyReservation(std::shared_ptr<BodyBudget> budget, std::size_t bytes);
  void Release();

  std::shared_ptr<BodyBudget> budget_;
  std::size_t bytes_ = 0;
};

// Bounds the bytes of all message bodies that a process holds together. A part
// of it is left for small bodies. Not thread-safe.
class BodyBudget : public std::enable_shared_from_this<BodyBudget> {
 public:
  // Bodies of up to this size are small.
  static constexpr std::size_t kMaxSmallBytes = 64UL << 10;

  static std::shared_ptr<BodyBudget> Create(std::size_t bytes);

  // Returns nullopt if there is no room, and counts the rejection.
  std::optional<BodyReservation> TryReserve(std::size_t bytes);
  // Whether a body of this size has room while no other is held.
  bool CanEverHold(std::size_t bytes) const { return bytes <= LimitOf(bytes); }

  std::size_t bytes() const { return bytes_; }
  std::size_t reserved_bytes() const { return reserved_; }
  std::size_t max_reserved_bytes() const { return max_reserved_; }
  std::uint64_t rejections() const { return rejections_; }

 private:
  friend class BodyReservation;
  explicit BodyBudget(std::size_t bytes) : bytes_(bytes) {}
  std::size_t LimitOf(std::size_t bytes) const;

  const std::size_t bytes_;
  std::size_t reserved_ = 0;
  std::size_t max_reserved_ = 0;
  std::uint64_t rejections_ = 0;
};

using BodyBudgetPtr = std::shared_ptr<BodyBudget>;

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_BODY_BUDGET_H_
