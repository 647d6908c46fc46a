#ifndef ENDIVECART_SETTINGS_JSON_READER_H_
#define ENDIVECART_SETTINGS_JSON_READER_H_

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/settings/json_text.h"

namespace endivecart::settings {

// Reads one JSON object key by key; null is treated as missing. Errors are
// collected, not thrown: read all keys, call RefuseUnknownKeys(), then check
// the errors once. After an error the returned value is a placeholder.
class JsonReader {
 public:
  // `lines` and `errors` must outlive the reader.
  JsonReader(Poco::JSON::Object::Ptr object,
             std::string path,
             const std::map<std::string, int>& lines,
             SettingsErrors& errors);

  bool Has(const std::string& key) const;
  std::string String(const std::string& key);
  std::string StringOr(const std::string& key, const std::string& fallback);
  std::int64_t Int(const std::string& key, std::int64_t min, std::int64_t max);
  std::int64_t IntOr(const std::string& key,
                     std::int64_t fallback,
                     std::int64_t min,
                     std::int64_t max);
  // Accepts any non-negative number.
  double NumberOr(const std::string& key, double fallback);
  bool BoolOr(const std::string& key, bool fallback);
  // Accepts one of `choices`; case-sensitive.
  std::string ChoiceOr(const std::string& key,
                       const std::string& fallback,
                       const std::vector<std::string>& choices);
  std::vector<std::string> StringsOr(const std::string& key,
                                     std::vector<std::string> fallback);
  // Returns a reader of the object at `key`, or of an empty object if it is
  // missing.
  JsonReader Object(const std::string& key, bool required);
  // Returns readers of the objects in the array at `key`.
  std::vector<JsonReader> Objects(const std::string& key, bool required);
  // Returns all keys, sorted.
  std::vector<std::string> Keys() const;

  // Adds an error for each key that was not read.
  void RefuseUnknownKeys();
  void AddError(const std::string& key, const std::string& reason);
  const std::string& path() const { return path_; }

 private:
  std::optional<Poco::Dynamic::Var> Lookup(const std::string& key,
                                           bool required);
  int LineOf(const std::string& path) const;
  JsonReader Child(Poco::JSON::Object::Ptr object, const std::string& key);

  Poco::JSON::Object::Ptr object_;
  std::string path_;
  const std::map<std::string, int>* lines_;
  SettingsErrors* errors_;
  std::set<std::string> known_;
};

}  // namespace endivecart::settings

#endif  // ENDIVECART_SETTINGS_JSON_READER_H_
