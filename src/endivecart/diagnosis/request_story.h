#ifndef ENDIVECART_DIAGNOSIS_REQUEST_STORY_H_
#define ENDIVECART_DIAGNOSIS_REQUEST_STORY_H_

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

// One line that names the request.
struct StoryLine {
  std::string time;  // UTC, as the process wrote it
  std::string source;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;  // without the id

  auto operator<=>(const StoryLine&) const = default;
};

// The fields of a log line in key=value form, in their order.
std::vector<std::pair<std::string, std::string>> ParseLogFields(
    std::string_view line);

// All lines of the logs that name the request, by time. Clocks of hosts may
// differ; lines of one host keep their order.
std::vector<StoryLine> StoryOf(std::string_view request,
                               const std::vector<LogText>& logs);

// The story for a person: a line each, then what it amounts to.
std::string DescribeStory(std::string_view request,
                          const std::vector<StoryLine>& story);

}  // namespace endivecart::diagnosis

#endif  // ENDIVECART_DIAGNOSIS_REQUEST_STORY_H_
