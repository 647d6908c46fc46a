#ifndef ENDIVECART_BASE_REJECTED_INPUT_H_
#define ENDIVECART_BASE_REJECTED_INPUT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "endivecart/base/ids.h"

namespace endivecart {

// Where input that can't be used came from.
enum class InputSource {
  kCaller,    // a caller's request
  kOperator,  // a call of an operator or an announcement of an upstream
  kPeer,      // a record in a message of another process of the system
  kCount,
};

std::string_view InputSourceName(InputSource source);

// Counts the input that was rejected or dropped because it can't be read. Logs
// one line a minute for each source. Thread-safe.
class RejectedInputMonitor {
 public:
  // The monitor of this process.
  static RejectedInputMonitor& Get();

  // `field` says what the text was meant to be.
  void Record(InputSource source,
              std::string_view field,
              std::string_view text);
  std::uint64_t Count(InputSource source) const;

 private:
  struct Source {
    std::uint64_t count = 0;
    std::optional<std::int64_t> logged_at_s;
  };

  mutable std::mutex mutex_;
  std::array<Source, static_cast<std::size_t>(InputSource::kCount)> sources_;
};

// The longest name that is accepted from outside, in bytes.
inline constexpr std::size_t kMaxNameBytes = 256;
// The longest one from a peer, which may add a number to such a name.
inline constexpr std::size_t kMaxPeerNameBytes = 512;

// Returns whether `text` may name something: it is UTF-8 without control
// characters, not empty and not too long. Names end up in messages, stored
// records, logs and metric labels. Records a rejection otherwise.
bool AcceptName(InputSource source,
                std::string_view field,
                std::string_view text);

// Returns nullopt, and records a rejection, if `text` isn't a name.
template <class IdType>
std::optional<IdType> ParseId(InputSource source,
                              std::string_view field,
                              std::string_view text) {
  if (!AcceptName(source, field, text))
    return std::nullopt;
  return IdType(std::string(text));
}

}  // namespace endivecart

#endif  // ENDIVECART_BASE_REJECTED_INPUT_H_
