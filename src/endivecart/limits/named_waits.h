#ifndef ENDIVECART_LIMITS_NAMED_WAITS_H_
#define ENDIVECART_LIMITS_NAMED_WAITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::limits {

// The waits that upstreams named to this host when they refused a request.
// They concern this host only and are not shared.
class NamedWaits {
 public:
  // Longer waits are cut to this.
  static constexpr Millis kMaxWait{300000};

  // `seed` should differ between hosts: they return to an upstream at different
  // times, although it may have told all of them to wait until the same one.
  explicit NamedWaits(std::uint64_t seed) : seed_(seed) {}

  // Records a wait. Returns false if it was ignored, because it isn't positive,
  // or cut.
  bool OnNamed(const std::string& upstream_run, double seconds, TimePoint now);
  // Returns for how long this host still may not send; 0 if it may.
  Millis TimeLeft(const std::string& upstream_run, TimePoint now) const;
  void Expire(TimePoint now);
  bool empty() const { return ends_.empty(); }
  std::size_t size() const { return ends_.size(); }

 private:
  const std::uint64_t seed_;
  std::map<std::string, TimePoint> ends_;
};

}  // namespace endivecart::limits

#endif  // ENDIVECART_LIMITS_NAMED_WAITS_H_
