#include "explain_command.h"

#include <filesystem>
#include <iostream>

#include "endivecart/diagnosis/diagnosis.h"
#include "endivecart/settings/settings.h"

namespace command_line {

namespace diagnosis = endivecart::diagnosis;

int Explain(const Arguments& arguments) {
  if (arguments.words.size() < 3) {
    std::cerr << "endivecart: usage: explain REQUEST FILE...\n";
    return kUsageError;
  }
  const std::string& request = arguments.words[1];
  std::vector<diagnosis::LogText> logs;
  for (std::size_t i = 2; i < arguments.words.size(); ++i) {
    const auto text = endivecart::settings::ReadTextFile(arguments.words[i]);
    if (!text) {
      std::cerr << "endivecart: "
                << endivecart::settings::JoinErrors(text.error()) << '\n';
      return kUsageError;
    }
    logs.push_back(
        {std::filesystem::path(arguments.words[i]).stem().string(), *text});
  }
  const auto timeline = diagnosis::BuildTimeline(request, logs);
  std::cout << diagnosis::FormatTimeline(request, timeline);
  return timeline.empty() ? kFailure : kOk;
}

}  // namespace command_line
