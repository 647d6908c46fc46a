#include "endivecart/base/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <optional>
#include <utility>

#include "endivecart/base/log_rate_limiter.h"
#include "endivecart/base/text.h"

namespace endivecart {

namespace {

std::atomic<LogFormat> g_format{LogFormat::kKeyValue};

// Never destroyed: log lines may be written during static destruction.
struct Sink {
  std::mutex mutex;
  std::function<void(const std::string&)> function;
};

Sink& TestSink() {
  static Sink* const sink = new Sink;
  return *sink;
}

// Lines queued for a slow output before further ones are dropped.
constexpr int kMaxQueuedLines = 2000;

// Rate limits for lines below a warning and for warnings. Never destroyed, like
// the sink.
struct RateLimits {
  std::mutex mutex;
  std::optional<LogRateLimiter> routine;
  std::optional<LogRateLimiter> warnings;
  std::uint64_t suppressed = 0;
};

RateLimits& ProcessRateLimits() {
  static RateLimits* const limits = new RateLimits;
  return *limits;
}

std::int64_t SteadyMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

const log4cxx::LoggerPtr& Logger() {
  static const auto* const logger =
      new log4cxx::LoggerPtr(log4cxx::Logger::getLogger("endivecart"));
  return *logger;
}

bool SendToTestSink(const std::string& line) {
  Sink& sink = TestSink();
  std::scoped_lock lock(sink.mutex);
  if (!sink.function)
    return false;
  sink.function(line);
  return true;
}

// Longer values are cut.
constexpr std::size_t kMaxValueBytes = 2048;

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\\") != std::string_view::npos;
}

std::string Quoted(std::string_view value) {
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else {
      out += c;
    }
  }
  return out + '"';
}

}  // namespace

void SetUpLogging(const LogOptions& options) {
  g_format = options.format;
  const bool json = options.format == LogFormat::kJson;
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      json ? LOG4CXX_STR("{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSSZ}\","
                         "\"level\":\"%p\",%m%n")
           : LOG4CXX_STR("%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p %m%n"));
  log4cxx::AppenderPtr appender;
  if (options.file.empty()) {
    appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, options.to_standard_output
                    ? log4cxx::ConsoleAppender::getSystemOut()
                    : log4cxx::ConsoleAppender::getSystemErr());
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, options.file);
  }
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  if (options.max_lines_per_s > 0) {
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBlocking(false);
    queue->setBufferSize(kMaxQueuedLines);
    queue->addAppender(appender);
    appender = queue;
    std::scoped_lock lock(ProcessRateLimits().mutex);
    ProcessRateLimits().routine.emplace(options.max_lines_per_s);
    ProcessRateLimits().warnings.emplace(options.max_lines_per_s);
  }
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(options.level));
}

std::uint64_t SuppressedLogLines() {
  std::scoped_lock lock(ProcessRateLimits().mutex);
  return ProcessRateLimits().suppressed;
}

namespace {

// Returns whether a line may be written now under the limit of its kind. Logs
// the number of lines suppressed in seconds that have ended.
bool MayWriteLine(std::optional<LogRateLimiter> RateLimits::*kind) {
  RateLimits& limits = ProcessRateLimits();
  std::uint64_t suppressed = 0;
  bool may_write = true;
  {
    std::scoped_lock lock(limits.mutex);
    std::optional<LogRateLimiter>& limiter = limits.*kind;
    if (!limiter)
      return true;
    const std::int64_t now = SteadyMillis();
    suppressed = limiter->TakeSuppressedCount(now);
    limits.suppressed += suppressed;
    may_write = limiter->TryAcquire(now);
  }
  if (suppressed > 0)
    LogLine("log.left_out").Add("lines", suppressed).Error();
  return may_write;
}

}  // namespace

void SetLogSinkForTest(std::function<void(const std::string&)> sink) {
  std::scoped_lock lock(TestSink().mutex);
  TestSink().function = std::move(sink);
}

LogLine::LogLine(std::string_view event) {
  Add("event", event);
}

void LogLine::AddRaw(std::string_view key, std::string_view value, bool quote) {
  const bool json = g_format == LogFormat::kJson;
  if (!text_.empty())
    text_ += json ? ',' : ' ';
  text_ += json ? Quoted(key) : std::string(key);
  text_ += json ? ':' : '=';
  if (quote && (value.size() > kMaxValueBytes || !IsPlainText(value))) {
    text_ += Quoted(ToPlainText(value, kMaxValueBytes));
  } else if (json ? quote : quote && NeedsQuotes(value)) {
    text_ += Quoted(value);
  } else {
    text_ += value;
  }
}

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  AddRaw(key, value, true);
  return *this;
}

LogLine& LogLine::Add(std::string_view key, double value) {
  char buffer[32];
  std::snprintf(buffer, sizeof buffer, "%.3f", value);
  AddRaw(key, buffer, false);
  return *this;
}

LogLine& LogLine::Add(std::string_view key, std::int64_t value) {
  AddRaw(key, std::to_string(value), false);
  return *this;
}

std::string LogLine::Finish() const {
  return g_format == LogFormat::kJson ? text_ + "}" : text_;
}

void LogLine::Debug() const {
  if (!SendToTestSink(text_) && Logger()->isDebugEnabled() &&
      MayWriteLine(&RateLimits::routine)) {
    LOG4CXX_DEBUG(Logger(), Finish());
  }
}

void LogLine::Info() const {
  if (!SendToTestSink(text_) && Logger()->isInfoEnabled() &&
      MayWriteLine(&RateLimits::routine)) {
    LOG4CXX_INFO(Logger(), Finish());
  }
}

void LogLine::Warn() const {
  if (!SendToTestSink(text_) && MayWriteLine(&RateLimits::warnings))
    LOG4CXX_WARN(Logger(), Finish());
}

void LogLine::Error() const {
  if (!SendToTestSink(text_))
    LOG4CXX_ERROR(Logger(), Finish());
}

}  // namespace endivecart
