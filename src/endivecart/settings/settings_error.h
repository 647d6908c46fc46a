#ifndef ENDIVECART_SETTINGS_SETTINGS_ERROR_H_
#define ENDIVECART_SETTINGS_SETTINGS_ERROR_H_

#include <string>
#include <vector>

namespace endivecart::settings {

// One error in a settings text.
struct SettingsError {
  std::string path;    // such as "listen.callers"; empty for the text itself
  int line = 0;        // 1-based; 0 if unknown
  std::string reason;  // human-readable, without the path

  bool operator==(const SettingsError&) const = default;
  // Returns "line 12: listen.callers: must be ...".
  std::string ToString() const;
};

// All errors found in a text, in order of discovery.
using SettingsErrors = std::vector<SettingsError>;

// Returns the errors, one per line.
std::string JoinErrors(const SettingsErrors& errors);

}  // namespace endivecart::settings

#endif  // ENDIVECART_SETTINGS_SETTINGS_ERROR_H_
