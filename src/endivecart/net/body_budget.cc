#include "endivecart/net/body_budget.h"

#include <algorithm>
#include <utility>

namespace endivecart::net {

namespace {

// Large bodies leave this fraction of the budget to small ones.
constexpr std::size_t kSmallPartDivisor = 4;

}  // namespace

BodyReservation::BodyReservation(std::shared_ptr<BodyBudget> budget,
                                 std::size_t bytes)
    : budget_(std::move(budget)), bytes_(bytes) {}

BodyReservation::BodyReservation(BodyReservation&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)),
      bytes_(std::exchange(other.bytes_, 0)) {}

BodyReservation& BodyReservation::operator=(BodyReservation&& other) noexcept {
  if (this != &other) {
    Release();
    budget_ = std::exchange(other.budget_, nullptr);
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

BodyReservation::~BodyReservation() {
  Release();
}

void BodyReservation::Release() {
  if (budget_)
    budget_->reserved_ -= bytes_;
  budget_ = nullptr;
  bytes_ = 0;
}

std::shared_ptr<BodyBudget> BodyBudget::Create(std::size_t bytes) {
  return std::shared_ptr<BodyBudget>(new BodyBudget(bytes));
}

std::size_t BodyBudget::LimitOf(std::size_t bytes) const {
  return bytes <= kMaxSmallBytes ? bytes_ : bytes_ - bytes_ / kSmallPartDivisor;
}

std::optional<BodyReservation> BodyBudget::TryReserve(std::size_t bytes) {
  const std::size_t limit = LimitOf(bytes);
  if (reserved_ > limit || bytes > limit - reserved_) {
    ++rejections_;
    return std::nullopt;
  }
  reserved_ += bytes;
  max_reserved_ = std::max(max_reserved_, reserved_);
  return BodyReservation(shared_from_this(), bytes);
}

}  // namespace endivecart::net
