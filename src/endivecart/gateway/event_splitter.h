#ifndef ENDIVECART_GATEWAY_EVENT_SPLITTER_H_
#define ENDIVECART_GATEWAY_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace endivecart::gateway {

// One event of a stream (text/event-stream), as received from the upstream.
struct StreamEvent {
  std::string text;                 // including the terminating empty line
  std::optional<std::uint64_t> id;  // nullopt if absent or not a number

  bool operator==(const StreamEvent&) const = default;
};

// Returns whether the event has nothing but comments, which carry no data.
bool IsComment(const StreamEvent& event);

// Splits a byte stream into complete events.
class EventSplitter {
 public:
  void Add(std::string_view bytes) { pending_ += bytes; }
  // Returns the next complete event, or nullopt if more bytes are needed.
  std::optional<StreamEvent> Next();
  // Returns whether bytes of an incomplete event are left.
  bool HasPartial() const { return pending_.size() > consumed_; }
  std::size_t pending_bytes() const { return pending_.size() - consumed_; }

 private:
  std::string pending_;
  std::size_t consumed_ = 0;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_EVENT_SPLITTER_H_
