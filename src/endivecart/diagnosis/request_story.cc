#include "endivecart/diagnosis/request_story.h"

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

// Where a time stands in the line; npos if there is none.
std::size_t FindTime(std::string_view line) {
  for (std::size_t i = 0; i + kTimeLength <= line.size(); ++i) {
    if (IsDigit(line[i]) && line[i + 4] == '-' && line[i + 10] == 'T' &&
        line[i + 23] == 'Z') {
      return i;
    }
  }
  return std::string_view::npos;
}

// The value that starts at `at`; moves `at` behind it.
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

// What each ending means for the caller, and where to look next.
const std::map<std::string, std::string>& Meanings() {
  static const std::map<std::string, std::string> kMeanings = {
      {"answered", "the upstream's whole answer was passed on"},
      {"time_limit",
       "its time was up: compare left_ms with expected_ms at the sends, and "
       "gateway.wait"},
      {"no_upstream",
       "no upstream could take it: the census in gateway.no_upstream tells "
       "why"},
      {"no_room",
       "engines had no memory for it while it waited; see gateway.wait"},
      {"unreachable", "no connection to the upstreams that it was sent to"},
      {"refused", "upstreams stated that they had not run it"},
      {"broken", "an upstream's connection ended before its answer did"},
      {"bad_answer", "what an upstream sent was no answer"},
      {"answers_another_request",
       "an upstream's answer was to another request"},
      {"unsigned_or_coded", "an upstream's success lacked its signature"},
      {"event_cut", "an upstream's stream ended inside an event"},
      {"event_out_of_order", "an upstream's stream left out an event"},
      {"caller_gone", "the caller left before the answer"},
      {"no_route", "no route matches its host and path"},
      {"unknown_key", "its key belongs to no customer"},
      {"no_configuration", "the host had not heard a configuration yet"},
  };
  return kMeanings;
}

std::string FieldOf(const StoryLine& line, const std::string& key) {
  for (const auto& [name, value] : line.fields) {
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

std::vector<StoryLine> StoryOf(std::string_view request,
                               const std::vector<LogText>& logs) {
  std::vector<StoryLine> story;
  for (const LogText& log : logs) {
    std::istringstream lines(log.text);
    for (std::string line; std::getline(lines, line);) {
      if (line.find(request) == std::string::npos)
        continue;
      const std::size_t time = FindTime(line);
      if (time == std::string::npos)
        continue;
      StoryLine entry;
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
        story.push_back(std::move(entry));
    }
  }
  std::stable_sort(
      story.begin(), story.end(),
      [](const StoryLine& a, const StoryLine& b) { return a.time < b.time; });
  return story;
}

std::string DescribeStory(std::string_view request,
                          const std::vector<StoryLine>& story) {
  std::ostringstream out;
  if (story.empty()) {
    out << "request " << request
        << ": no line names it. It may not have reached a host, or its lines "
           "were left out under load (event log.left_out).\n";
    return out.str();
  }
  const StoryLine* last = nullptr;
  for (const StoryLine& line : story) {
    out << line.time << "  " << line.source << "  " << line.event;
    for (const auto& [key, value] : line.fields)
      out << "  " << key << '=' << value;
    out << '\n';
    if (line.event == "gateway.done" || line.event == "gateway.refused")
      last = &line;
  }
  if (last == nullptr) {
    out << "It has no ending here: the process ended first, or still works on "
           "it.\n";
    return out.str();
  }
  const bool refused = last->event == "gateway.refused";
  const std::string ending = FieldOf(*last, refused ? "reason" : "outcome");
  const auto meaning = Meanings().find(ending);
  out << "Ending: " << ending << " (status " << FieldOf(*last, "status") << ")";
  if (meaning != Meanings().end())
    out << ": " << meaning->second;
  out << ".\n";
  return out.str();
}

}  // namespace endivecart::diagnosis
