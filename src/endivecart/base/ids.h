#ifndef ENDIVECART_BASE_IDS_H_
#define ENDIVECART_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace endivecart {

// A string identifier whose type keeps it apart from ids of other kinds.
template <class Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& str() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const Id&) const = default;

 private:
  std::string value_;
};

using HostId = Id<struct HostTag>;
using DomainId = Id<struct DomainTag>;
using CustomerId = Id<struct CustomerTag>;
using UpstreamId = Id<struct UpstreamTag>;
using ModelId = Id<struct ModelTag>;
using VersionId = Id<struct VersionTag>;
using RequestId = Id<struct RequestTag>;

// Number of a committed configuration; increases with each accepted change.
using Revision = std::uint64_t;

}  // namespace endivecart

template <class Tag>
struct std::hash<endivecart::Id<Tag>> {
  std::size_t operator()(const endivecart::Id<Tag>& id) const {
    return std::hash<std::string>{}(id.str());
  }
};

#endif  // ENDIVECART_BASE_IDS_H_
