#ifndef ENDIVECART_DIAGNOSIS_REQUEST_TIMELINE_H_
#define ENDIVECART_DIAGNOSIS_REQUEST_TIMELINE_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivecart::diagnosis {

// The log of one process.
struct LogText {
  std::string source;  // host or file
  std::string text;
};

// One log line about the request.
struct TimelineEntry {
  std::string time;  // UTC, as logged
  std::string source;
  std::string event;
  // In order, without the event and the request id.
  std::vector<std::pair<std::string, std::string>> fields;

  auto operator<=>(const TimelineEntry&) const = default;
};

// Returns the fields of a log line in key=value form, in order.
std::vector<std::pair<std::string, std::string>> ParseLogFields(
    std::string_view line);

// Returns the log lines about the request, sorted by time. Host clocks may
// differ; lines with equal times keep their order.
std::vector<TimelineEntry> BuildTimeline(std::string_view request,
                                         const std::vector<LogText>& logs);

// Formats a timeline as text: one line per entry, then the request's outcome.
std::string FormatTimeline(std::string_view request,
                           const std::vector<TimelineEntry>& timeline);

}  // namespace endivecart::diagnosis

#endif  // ENDIVECART_DIAGNOSIS_REQUEST_TIMELINE_H_
