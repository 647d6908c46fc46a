#ifndef ENDIVECART_NET_BODY_H_
#define ENDIVECART_NET_BODY_H_

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>

#include "endivecart/net/connection_budget.h"

namespace endivecart::net {

// The bytes of a message body. Immutable; copies share the bytes, and with them
// the part of a budget that is reserved for them.
class Body {
 public:
  Body() = default;
  Body(std::string bytes);  // NOLINT(google-explicit-constructor)
  Body(const char* bytes);  // NOLINT(google-explicit-constructor)
  // `reservation` covers `bytes`.
  Body(std::string bytes, BudgetReservation reservation);

  const std::string& str() const;
  operator const std::string&() const {  // NOLINT(google-explicit-constructor)
    return str();
  }
  const char* data() const { return str().data(); }
  std::size_t size() const { return str().size(); }
  bool empty() const { return str().empty(); }

  friend bool operator==(const Body& a, const Body& b) {
    return a.str() == b.str();
  }
  friend std::ostream& operator<<(std::ostream& out, const Body& body) {
    return out << body.str();
  }

 private:
  struct Data;
  std::shared_ptr<const Data> data_;  // null if empty
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_BODY_H_
