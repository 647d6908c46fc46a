#ifndef ENDIVECART_SETTINGS_SETTINGS_ERROR_H_
#define ENDIVECART_SETTINGS_SETTINGS_ERROR_H_

#include <string>
#include <vector>

namespace endivecart::settings {

// One fault in a settings text.
struct SettingsError {
  std::string path;    // such as "listen.callers"; empty for the whole text
  int line = 0;        // 1-based; 0 if unknown
  std::string reason;  // in words, without the path

  bool operator==(const SettingsError&) const = default;
  // "line 12: listen.callers: must be ..."
  std::string ToString() const;
};

// All faults found in one text, in order of discovery.
using SettingsErrors = std::vector<SettingsError>;

// The faults, one a line.
std::string JoinErrors(const SettingsErrors& errors);

}  // namespace endivecart::settings

#endif  // ENDIVECART_SETTINGS_SETTINGS_ERROR_H_
