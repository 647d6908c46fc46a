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
  std::string file;  // if empty, logs to standard error or output
  bool to_standard_output = false;
  std::string level = "info";  // debug, info, warn or error
  // Limit for lines below a warning, per second; warnings have a separate limit
  // of the same size. Lines beyond it are suppressed, and their number is
  // logged. Errors are not limited. Writing never blocks the caller: lines that
  // do not fit the output queue are dropped, and their number is logged. If 0,
  // there is no limit and writing may block.
  int max_lines_per_s = 0;

  bool operator==(const LogOptions&) const = default;
};

// Configures log4cxx for this process.
void SetUpLogging(const LogOptions& options);

// Sends each finished line to `sink` instead of log4cxx; for tests. A null sink
// restores log4cxx.
void SetLogSinkForTest(std::function<void(const std::string&)> sink);

// Returns the number of lines suppressed by the rate limits so far.
std::uint64_t SuppressedLogLines();

// One structured log line: an event name and fields, in the given order.
// Prompts, answers and keys must never be added as fields. Values may be any
// bytes: what isn't plain text is replaced, and long values are cut.
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
