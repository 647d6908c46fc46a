#include "endivecart/settings/json_text.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace endivecart::settings {

namespace {

constexpr std::size_t kMaxDepth = 32;

// Returns the index just past the string literal that starts at `start`.
std::size_t EndOfString(std::string_view text, std::size_t start) {
  std::size_t i = start + 1;
  while (i < text.size() && text[i] != '"')
    i += text[i] == '\\' ? 2 : 1;
  return std::min(i + 1, text.size());
}

// Tracks the nesting of a well-formed JSON text to find the line of each key.
class KeyLocator {
 public:
  explicit KeyLocator(std::string_view text) : text_(text) {}

  // Fills `lines`; returns the path of the first duplicate key, if any.
  std::optional<std::string> LocateKeys(std::map<std::string, int>& lines) {
    for (std::size_t i = 0; i < text_.size();) {
      const char c = text_[i];
      if (c == '"') {
        const std::size_t end = EndOfString(text_, i);
        if (IsKey(end) && !RecordKey(text_.substr(i + 1, end - i - 2), lines))
          return CurrentPath();
        line_ += static_cast<int>(
            std::count(text_.begin() + static_cast<std::ptrdiff_t>(i),
                       text_.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
        i = end;
        continue;
      }
      AdvanceOver(c);
      ++i;
    }
    return std::nullopt;
  }

 private:
  struct Level {
    bool is_array;
    int index;
    std::string key;
  };

  bool IsKey(std::size_t end) const {
    if (levels_.empty() || levels_.back().is_array)
      return false;
    const std::size_t next = text_.find_first_not_of(" \t\r\n", end);
    return next != std::string_view::npos && text_[next] == ':';
  }

  bool RecordKey(std::string_view key, std::map<std::string, int>& lines) {
    levels_.back().key = std::string(key);
    return lines.emplace(CurrentPath(), line_).second;
  }

  void AdvanceOver(char c) {
    if (c == '\n') {
      ++line_;
    } else if (c == '{' || c == '[') {
      levels_.push_back({c == '[', 0, {}});
    } else if ((c == '}' || c == ']') && !levels_.empty()) {
      levels_.pop_back();
    } else if (c == ',' && !levels_.empty() && levels_.back().is_array) {
      ++levels_.back().index;
    }
  }

  std::string CurrentPath() const {
    std::string path;
    for (const Level& level : levels_) {
      path = JoinPath(path,
                      level.is_array ? std::to_string(level.index) : level.key);
    }
    return path;
  }

  std::string_view text_;
  int line_ = 1;
  std::vector<Level> levels_;
};

std::size_t Depth(std::string_view text) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  for (std::size_t i = 0; i < text.size();) {
    if (text[i] == '"') {
      i = EndOfString(text, i);
      continue;
    }
    if (text[i] == '{' || text[i] == '[')
      deepest = std::max(deepest, ++depth);
    if ((text[i] == '}' || text[i] == ']') && depth > 0)
      --depth;
    ++i;
  }
  return deepest;
}

SettingsErrors OneError(std::string path, std::string reason) {
  return {{std::move(path), 0, std::move(reason)}};
}

}  // namespace

std::string JoinPath(std::string_view path, std::string_view key) {
  std::string out(path);
  if (!out.empty())
    out += '.';
  return out.append(key);
}

std::string BlankComments(std::string_view text) {
  std::string out(text);
  for (std::size_t i = 0; i < out.size();) {
    if (out[i] == '"') {
      i = EndOfString(out, i);
      continue;
    }
    std::size_t end = i;
    if (out.compare(i, 2, "//") == 0)
      end = std::min(out.find('\n', i), out.size());
    if (out.compare(i, 2, "/*") == 0) {
      const std::size_t close = out.find("*/", i + 2);
      end = close == std::string::npos ? out.size() : close + 2;
    }
    if (end == i) {
      ++i;
      continue;
    }
    for (; i < end; ++i)
      out[i] = out[i] == '\n' ? '\n' : ' ';
  }
  return out;
}

Result<Poco::JSON::Object::Ptr, SettingsErrors> ParseJsonObject(
    std::string_view text) {
  if (Depth(text) > kMaxDepth)
    return Fail(OneError("", "nested too deeply"));
  const std::size_t end = text.find_last_not_of(" \t\r\n");
  if (end == std::string_view::npos || text[end] != '}')
    return Fail(OneError("", "must be a single JSON object"));
  try {
    Poco::JSON::Parser parser;
    const Poco::Dynamic::Var value = parser.parse(std::string(text));
    if (value.type() != typeid(Poco::JSON::Object::Ptr))
      return Fail(OneError("", "must be a JSON object"));
    return value.extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& e) {
    return Fail(OneError("", "not valid JSON: " + e.message()));
  }
}

Result<JsonText, SettingsErrors> ParseJsonText(std::string_view text) {
  const std::string json = BlankComments(text);
  const auto root = ParseJsonObject(json);
  if (!root)
    return Fail(root.error());
  JsonText result;
  result.root = *root;
  if (const auto duplicate = KeyLocator(json).LocateKeys(result.lines))
    return Fail(OneError(*duplicate, "duplicate key"));
  return result;
}

}  // namespace endivecart::settings
