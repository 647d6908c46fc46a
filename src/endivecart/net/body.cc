#include "endivecart/net/body.h"

#include <utility>

namespace endivecart::net {

struct Body::Data {
  std::string bytes;
  BudgetReservation reservation;
};

Body::Body(std::string bytes) : Body(std::move(bytes), BudgetReservation()) {}

Body::Body(const char* bytes) : Body(std::string(bytes)) {}

Body::Body(std::string bytes, BudgetReservation reservation) {
  if (!bytes.empty()) {
    data_ = std::make_shared<const Data>(
        Data{std::move(bytes), std::move(reservation)});
  }
}

const std::string& Body::str() const {
  static const std::string kEmpty;
  return data_ ? data_->bytes : kEmpty;
}

}  // namespace endivecart::net
