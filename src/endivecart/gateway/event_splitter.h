#ifndef ENDIVECART_GATEWAY_EVENT_SPLITTER_H_
#define ENDIVECART_GATEWAY_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace endivecart::gateway {

// One event of a stream (text/event-stream), as its upstream wrote it.
struct StreamEvent {
  std::string text;                 // with the empty line at its end
  std::optional<std::uint64_t> id;  // nothing if it has none, or no number

  bool operator==(const StreamEvent&) const = default;
};

// Cuts a stream into whole events.
class EventSplitter {
 public:
  void Add(std::string_view bytes) { pending_ += bytes; }
  // The next whole event; nothing until more bytes come.
  std::optional<StreamEvent> Next();
  // Whether bytes of an unfinished event are left.
  bool HasPartial() const { return pending_.size() > taken_; }
  std::size_t pending_bytes() const { return pending_.size() - taken_; }

 private:
  std::string pending_;
  std::size_t taken_ = 0;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_EVENT_SPLITTER_H_
