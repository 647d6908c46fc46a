#ifndef ENDIVECART_NET_REJECTION_LOG_H_
#define ENDIVECART_NET_REJECTION_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::net {

// Counts what is done to clients, by kind, and limits the log lines about each
// kind to one a minute.
class RejectionLog {
 public:
  // Counts one. Returns the number since the last line of this kind if a line
  // is due, else nullopt.
  std::optional<std::uint64_t> Count(const std::string& kind, TimePoint now);

  // Returns all counts since the start.
  std::map<std::string, std::uint64_t> Totals() const;

  static constexpr Millis kInterval{60'000};

 private:
  struct Entry {
    std::uint64_t total = 0;
    std::uint64_t logged = 0;
    std::optional<TimePoint> logged_at;
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_REJECTION_LOG_H_
