#include "endivecart/base/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <cstdio>
#include <mutex>
#include <utility>

namespace endivecart {

namespace {

std::atomic<LogFormat> g_format{LogFormat::kKeyValue};

// Kept for the life of the process: log lines may come from static teardown.
struct Sink {
  std::mutex mutex;
  std::function<void(const std::string&)> function;
};

Sink& TestSink() {
  static Sink* const sink = new Sink;
  return *sink;
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

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

std::string Quoted(std::string_view value) {
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      out += ' ';
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
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(options.level));
}

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
  if (json ? quote : quote && NeedsQuotes(value)) {
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
  if (!SendToTestSink(text_) && Logger()->isDebugEnabled())
    LOG4CXX_DEBUG(Logger(), Finish());
}

void LogLine::Info() const {
  if (!SendToTestSink(text_))
    LOG4CXX_INFO(Logger(), Finish());
}

void LogLine::Warn() const {
  if (!SendToTestSink(text_))
    LOG4CXX_WARN(Logger(), Finish());
}

void LogLine::Error() const {
  if (!SendToTestSink(text_))
    LOG4CXX_ERROR(Logger(), Finish());
}

}  // namespace endivecart
