#include "endivecart/diagnosis/request_timeline.h"

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>

namespace endivecart::diagnosis {

namespace {

// "2026-06-27T10:06:11.004Z"
constexpr std::size_t kTimeLength = 24;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Returns the position of the timestamp in the line; npos if there is none.
std::size_t FindTime(std::string_view line) {
  for (std::size_t i = 0; i + kTimeLength <= line.size(); ++i) {
    if (IsDigit(line[i]) && line[i + 4] == '-' && line[i + 10] == 'T' &&
        line[i + 23] == 'Z') {
      return i;
    }
  }
  return std::string_view::npos;
}

// Returns the value that starts at `at`; advances `at` past it.
std::string ReadValue(std::string_view line, std::size_t& at) {
  std::string value;
  if (at < line.size() && line[at] == '"') {
    for (++at; at < line.size() && line[at] != '"'; ++at) {
      if (line[at] == '\\' && at + 1 < line.size())
        ++at;
      value += line[at];
    }
    ++at;
    return value;
  }
  const std::size_t end = std::min(line.find(' ', at), line.size());
  value = line.substr(at, end - at);
  at = end;
  return value;
}

// Explains each outcome and names the log events to check.
const std::map<std::string, std::string>& OutcomeDescriptions() {
  static const std::map<std::string, std::string> kDescriptions = {
      {"answered", "the upstream's complete response was forwarded"},
      {"time_limit",
       "its deadline passed: compare left_ms with expected_ms in gateway.send, "
       "and see gateway.wait"},
      {"no_upstream",
       "no upstream could accept it: the field upstreams of "
       "gateway.no_upstream gives the reasons"},
      {"no_room",
       "no engine had enough memory for it while it waited; see gateway.wait"},
      {"unreachable", "could not connect to the upstreams that it was sent to"},
      {"refused", "upstreams replied that they had not executed it"},
      {"broken",
       "an upstream closed the connection before the end of its response"},
      {"bad_answer", "an upstream sent a malformed response"},
      {"answers_another_request",
       "an upstream sent the response to another request"},
      {"unsigned_or_coded",
       "an upstream's successful response was unsigned or content-coded"},
      {"event_cut", "an upstream's event stream ended within an event"},
      {"event_out_of_order", "an upstream's event stream skipped an event"},
      {"event_without_id",
       "an upstream's event stream had something between its numbered events"},
      {"continues_no_stream",
       "the upstream that was to continue its stream answered something else"},
      {"caller_gone",
       "the caller disconnected before the response was complete"},
      {"no_route", "no route matches its host and path"},
      {"unknown_key", "its API key belongs to no customer"},
      {"no_configuration", "the host had not received a configuration yet"},
  };
  return kDescriptions;
}

std::string FieldOf(const TimelineEntry& entry, const std::string& key) {
  for (const auto& [name, value] : entry.fields) {
    if (name == key)
      return value;
  }
  return "";
}

}  // namespace

std::vector<std::pair<std::string, std::string>> ParseLogFields(
    std::string_view line) {
  std::vector<std::pair<std::string, std::string>> fields;
  std::size_t at = 0;
  while (at < line.size()) {
    const std::size_t equals = line.find('=', at);
    if (equals == std::string_view::npos)
      break;
    const std::size_t space = line.rfind(' ', equals);
    const std::size_t start =
        space == std::string_view::npos || space < at ? at : space + 1;
    std::string key(line.substr(start, equals - start));
    at = equals + 1;
    std::string value = ReadValue(line, at);
    fields.emplace_back(std::move(key), std::move(value));
    while (at < line.size() && line[at] == ' ')
      ++at;
  }
  return fields;
}

std::vector<TimelineEntry> BuildTimeline(std::string_view request,
                                         const std::vector<LogText>& logs) {
  std::vector<TimelineEntry> timeline;
  for (const LogText& log : logs) {
    std::istringstream lines(log.text);
    for (std::string line; std::getline(lines, line);) {
      if (line.find(request) == std::string::npos)
        continue;
      const std::size_t time = FindTime(line);
      if (time == std::string::npos)
        continue;
      TimelineEntry entry;
      entry.time = line.substr(time, kTimeLength);
      entry.source = log.source;
      bool names_request = false;
      for (auto& [key, value] : ParseLogFields(line.substr(time))) {
        if (key == "request" && value == request) {
          names_request = true;
        } else if (key == "event") {
          entry.event = value;
        } else {
          entry.fields.emplace_back(std::move(key), std::move(value));
        }
      }
      if (names_request)
        timeline.push_back(std::move(entry));
    }
  }
  std::stable_sort(timeline.begin(), timeline.end(),
                   [](const TimelineEntry& a, const TimelineEntry& b) {
                     return a.time < b.time;
                   });
  return timeline;
}

std::string FormatTimeline(std::string_view request,
                           const std::vector<TimelineEntry>& timeline) {
  std::ostringstream out;
  if (timeline.empty()) {
    out << "request " << request
        << ": no log line mentions it. It may not have reached a host, or its "
           "lines were dropped under load (event log.left_out).\n";
    return out.str();
  }
  const TimelineEntry* last = nullptr;
  for (const TimelineEntry& entry : timeline) {
    out << entry.time << "  " << entry.source << "  " << entry.event;
    for (const auto& [key, value] : entry.fields)
      out << "  " << key << '=' << value;
    out << '\n';
    if (entry.event == "gateway.done" || entry.event == "gateway.refused")
      last = &entry;
  }
  if (last == nullptr) {
    out << "No outcome is logged: the process ended first, or the request is "
           "still in progress.\n";
    return out.str();
  }
  const bool refused = last->event == "gateway.refused";
  const std::string outcome = FieldOf(*last, refused ? "reason" : "outcome");
  const auto description = OutcomeDescriptions().find(outcome);
  out << "Outcome: " << outcome << " (status " << FieldOf(*last, "status")
      << ")";
  if (description != OutcomeDescriptions().end())
    out << ": " << description->second;
  out << ".\n";
  return out.str();
}

}  // namespace endivecart::diagnosis
