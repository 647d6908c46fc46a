#include "endivecart/settings/settings_error.h"

namespace endivecart::settings {

std::string SettingsError::ToString() const {
  std::string out;
  if (line > 0)
    out += "line " + std::to_string(line) + ": ";
  if (!path.empty())
    out += path + ": ";
  return out + reason;
}

std::string JoinErrors(const SettingsErrors& errors) {
  std::string out;
  for (const SettingsError& error : errors) {
    if (!out.empty())
      out += '\n';
    out += error.ToString();
  }
  return out;
}

}  // namespace endivecart::settings
