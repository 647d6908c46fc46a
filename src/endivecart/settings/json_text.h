#ifndef ENDIVECART_SETTINGS_JSON_TEXT_H_
#define ENDIVECART_SETTINGS_JSON_TEXT_H_

#include <Poco/JSON/Object.h>

#include <map>
#include <string>
#include <string_view>

#include "endivecart/base/base.h"
#include "endivecart/settings/settings_error.h"

namespace endivecart::settings {

// A parsed JSON object with the line number of each key.
struct JsonText {
  Poco::JSON::Object::Ptr root;
  std::map<std::string, int> lines;  // key path -> 1-based line
};

// Replaces `//` and `/* */` comments by spaces; line numbers stay the same.
std::string BlankComments(std::string_view text);

// Parses JSON with comments. The top level must be an object; duplicate keys
// are errors.
Result<JsonText, SettingsErrors> ParseJsonText(std::string_view text);

// Parses a JSON object without comments or trailing data, as in messages.
Result<Poco::JSON::Object::Ptr, SettingsErrors> ParseJsonObject(
    std::string_view text);

// Joins a path and a key: "a" + "b" -> "a.b".
std::string JoinPath(std::string_view path, std::string_view key);

}  // namespace endivecart::settings

#endif  // ENDIVECART_SETTINGS_JSON_TEXT_H_
