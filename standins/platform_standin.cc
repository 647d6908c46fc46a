#include "platform_standin.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <optional>

namespace standins {

namespace net = endivecart::net;
using Json = Poco::JSON::Object;
using endivecart::LogLine;
using endivecart::Millis;
using endivecart::TimePoint;

namespace {

constexpr Millis kSecond{1000};
constexpr char kUsagePath[] = "/usage";
constexpr char kScalePath[] = "/scale";

Json::Ptr ParseBody(const std::string& body) {
  try {
    return Poco::JSON::Parser().parse(body).extract<Json::Ptr>();
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

// Returns the subject that a call is about, or nullopt if it is malformed.
std::optional<std::string> SubjectOf(const PlatformStandin::Call& call) {
  const Json::Ptr body = ParseBody(call.body);
  if (body.isNull() || call.holder.empty() || call.token == 0)
    return std::nullopt;
  if (call.path == kUsagePath && body->has("window_number") &&
      body->isObject("counts")) {
    return call.path;
  }
  if (call.path == kScalePath && body->has("desired_count")) {
    return call.path + " " + body->optValue<std::string>("service", "") + " " +
           body->optValue<std::string>("zone", "");
  }
  return std::nullopt;
}

}  // namespace

PlatformStandin::PlatformStandin(net::EventLoop& loop, PlatformOptions options)
    : loop_(loop), options_(std::move(options)) {}

std::string PlatformStandin::Start() {
  auto server = net::HttpServer::Listen(
      loop_, options_.listen, {},
      [this](const net::HttpExchangePtr& exchange) { Handle(exchange); });
  if (!server)
    return server.error().detail;
  server_ = std::move(*server);
  return {};
}

bool PlatformStandin::IsThrottled() {
  const TimePoint now = loop_.Now();
  while (!arrivals_.empty() && now - arrivals_.front() >= kSecond)
    arrivals_.pop_front();
  if (arrivals_.size() >= options_.calls_per_s)
    return true;
  arrivals_.push_back(now);
  return false;
}

void PlatformStandin::Handle(const net::HttpExchangePtr& exchange) {
  const net::HttpRequest& request = exchange->request();
  const auto respond = [this, exchange](int status) {
    timers_.push_back(
        loop_.After(faults.answer_delay, [exchange, status](TimePoint) {
          exchange->Respond(net::MakeResponse(status, "", ""));
        }));
  };
  const Call call{
      request.target,
      std::string(request.fields.Find("X-Duty-Holder").value_or("")),
      std::strtoull(
          std::string(request.fields.Find("X-Fencing-Token").value_or("0"))
              .c_str(),
          nullptr, 10),
      request.body.str()};
  const auto subject = SubjectOf(call);
  if (!subject)
    return respond(400);
  if (IsThrottled()) {
    ++throttled_;
    return respond(429);
  }
  std::uint64_t& newest = newest_token_[*subject];
  if (call.token < newest) {
    if (options_.fencing_required) {
      ++refused_;
      return respond(409);
    }
    violation_ = "a lower fencing number arrived";
  }
  newest = std::max(newest, call.token);
  if (faults.failed > 0) {
    --faults.failed;
    return respond(503);
  }
  if (faults.lost > 0) {
    --faults.lost;
    return;
  }
  if (faults.late > 0) {
    --faults.late;
    timers_.push_back(loop_.After(faults.late_by,
                                  [this, call](TimePoint) { Execute(call); }));
    return;
  }
  Execute(call);
  respond(200);
}

void PlatformStandin::Execute(const Call& call) {
  executed_.push_back(call);
  LogLine("platform.executed")
      .Add("path", call.path)
      .Add("holder", call.holder)
      .Add("token", call.token)
      .Add("body", call.body)
      .Info();
  if (call.path != kUsagePath)
    return;
  const Json::Ptr body = ParseBody(call.body);
  const auto window = body->getValue<std::string>("window_number");
  const auto report = reports_.try_emplace(window, call.body).first;
  if (report->second != call.body)
    violation_ = "two reports of window " + window + " differ";
}

}  // namespace standins
