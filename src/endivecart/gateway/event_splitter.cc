#include "endivecart/gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace endivecart::gateway {

namespace {

constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t> ParseId(std::string_view line) {
  line.remove_prefix(kIdField.size());
  while (!line.empty() && line.front() == ' ')
    line.remove_prefix(1);
  while (!line.empty() && line.back() == '\r')
    line.remove_suffix(1);
  std::uint64_t id = 0;
  const auto parsed =
      std::from_chars(line.data(), line.data() + line.size(), id);
  if (parsed.ec != std::errc() || parsed.ptr != line.data() + line.size())
    return std::nullopt;
  return id;
}

std::optional<std::uint64_t> FindId(std::string_view event) {
  std::size_t at = 0;
  while (at < event.size()) {
    const std::size_t end = std::min(event.find('\n', at), event.size());
    const std::string_view line = event.substr(at, end - at);
    if (line.starts_with(kIdField))
      return ParseId(line);
    at = end + 1;
  }
  return std::nullopt;
}

// Returns the end of the first event of `text`, including its empty line, or
// npos if the event is incomplete.
std::size_t EndOfEvent(std::string_view text) {
  const std::size_t bare = text.find("\n\n");
  const std::size_t with_returns = text.find("\n\r\n");
  if (bare == std::string_view::npos &&
      with_returns == std::string_view::npos) {
    return std::string_view::npos;
  }
  return bare < with_returns ? bare + 2 : with_returns + 3;
}

}  // namespace

bool IsComment(const StreamEvent& event) {
  std::string_view rest = event.text;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('\n'), rest.size() - 1);
    const std::string_view line = rest.substr(0, end);
    if (!line.empty() && line != "\r" && line.front() != ':')
      return false;
    rest.remove_prefix(end + 1);
  }
  return true;
}

std::optional<StreamEvent> EventSplitter::Next() {
  const std::string_view rest = std::string_view(pending_).substr(consumed_);
  const std::size_t end = EndOfEvent(rest);
  if (end == std::string_view::npos) {
    pending_.erase(0, consumed_);
    consumed_ = 0;
    return std::nullopt;
  }
  StreamEvent event{std::string(rest.substr(0, end)), std::nullopt};
  event.id = FindId(event.text);
  consumed_ += end;
  return event;
}

}  // namespace endivecart::gateway
