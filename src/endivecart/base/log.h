#ifndef ENDIVECART_BASE_LOG_H_
#define ENDIVECART_BASE_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace endivecart {

enum class LogFormat { kKeyValue, kJson };

struct LogOptions {
  LogFormat format = LogFormat::kKeyValue;
  std::string file;  // empty: standard error, or output
  bool to_standard_output = false;
  std::string level = "info";  // debug, info, warn or error
  // Writing never blocks the caller: lines that the output doesn't take are
  // dropped, and the number is logged. Beyond this many lines a second, those
  // below a warning are left out, and counted too; and as many warnings apart
  // from them. Errors are always written. 0: no bound, and writing may block.
  int max_lines_per_s = 0;

  bool operator==(const LogOptions&) const = default;
};

// Configures log4cxx for this process.
void SetUpLogging(const LogOptions& options);

// Receives each finished line in place of log4cxx; for tests. Null restores.
void SetLogSinkForTest(std::function<void(const std::string&)> sink);

// Lines left out so far because there were too many.
std::uint64_t LogLinesLeftOut();

// One structured log line: an event name and fields, in the given order.
// Prompts, answers and keys must never be added as fields.
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, double value);
  LogLine& Add(std::string_view key, std::int64_t value);
  LogLine& Add(std::string_view key, int value) {
    return Add(key, static_cast<std::int64_t>(value));
  }
  LogLine& Add(std::string_view key, std::uint64_t value) {
    return Add(key, static_cast<std::int64_t>(value));
  }

  void Debug() const;
  void Info() const;
  void Warn() const;
  void Error() const;

 private:
  void AddRaw(std::string_view key, std::string_view value, bool quote);
  std::string Finish() const;

  std::string text_;
};

}  // namespace endivecart

#endif  // ENDIVECART_BASE_LOG_H_
