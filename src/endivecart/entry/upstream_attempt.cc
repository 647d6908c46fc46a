#include "endivecart/entry/upstream_attempt.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace endivecart::entry {

namespace {

using Object = Poco::JSON::Object;

constexpr Millis kConnectTimeout{500};
constexpr Millis kTokenGapTimeout{2000};
constexpr double kFirstTokenTimeoutFactor = 4.0;  // of the predicted time
constexpr Millis kFirstTokenMargin{2000};
constexpr std::size_t kMaxLineBytes = 1UL << 20;

std::string ImportJson(const Placement& placement) {
  std::string pieces;
  for (const cache::StoredPiece& piece : placement.stored.pieces) {
    pieces += (pieces.empty() ? "" : ",") + std::string("{\"name\":") +
              JsonQuoted(piece.name) +
              ",\"generation\":" + std::to_string(piece.generation) +
              ",\"bytes\":" + std::to_string(piece.bytes) +
              ",\"checksum\":" + JsonQuoted(piece.checksum) + "}";
  }
  return "{\"store\":" + JsonQuoted(placement.store_url) + ",\"pieces\":[" +
         pieces + "]}";
}

std::string RequestJson(const AttemptInput& input, Millis time_left) {
  const Placement& placement = *input.placement;
  std::string names;
  for (const cache::Piece& piece : placement.pieces.pieces)
    names += (names.empty() ? "" : ",") + JsonQuoted(piece.name);
  std::string json =
      "{\"model\":" + JsonQuoted(input.request->model.str()) +
      ",\"version\":" + JsonQuoted(placement.version.str()) +
      ",\"cache_owner\":" + JsonQuoted(placement.pieces.owner.customer.str()) +
      ",\"cache_pieces\":[" + names + "]" +
      ",\"max_tokens\":" + std::to_string(input.request->max_tokens) +
      ",\"stream\":true,\"resume_from\":" + std::to_string(input.resume_from) +
      ",\"priority\":" + std::to_string(input.priority) +
      ",\"deadline_ms\":" + std::to_string(time_left.count());
  if (!placement.stored.pieces.empty())
    json += ",\"kv_import\":" + ImportJson(placement);
  return json + ",\"prompt\":" + JsonQuoted(input.request->prompt) + "}";
}

// An event of the stream.
struct Chunk {
  std::string id;
  int position = 0;
  std::string text;
  std::string finish_reason;  // empty while the stream goes on
  Object::Ptr usage;          // with the last chunk
};

std::optional<Chunk> ParseChunk(const std::string& json) {
  try {
    Poco::JSON::Parser parser;
    const auto object = parser.parse(json).extract<Object::Ptr>();
    Chunk chunk;
    chunk.id = object->getValue<std::string>("id");
    chunk.position = object->getValue<int>("position");
    const auto choices = object->getArray("choices");
    if (choices.isNull() || choices->empty())
      return std::nullopt;
    const auto choice = choices->getObject(0);
    chunk.text = choice->optValue<std::string>("text", "");
    if (!choice->isNull("finish_reason"))
      chunk.finish_reason = choice->getValue<std::string>("finish_reason");
    chunk.usage = object->getObject("usage");
    return chunk;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

// Reads a line without its end. Returns false at the end of the stream, or if
// the line is too long.
bool ReadLine(std::istream& in, std::string& line) {
  line.clear();
  for (int c = in.get(); c != std::char_traits<char>::eof(); c = in.get()) {
    if (c == '\n')
      return true;
    if (line.size() == kMaxLineBytes)
      return false;
    line.push_back(static_cast<char>(c));
  }
  return !line.empty();
}

// Reads the event stream of one attempt and checks that the events belong to
// it.
class StreamReader {
 public:
  StreamReader(const AttemptInput& input,
               TimePoint sent_at,
               const std::function<TimePoint()>& now,
               std::function<void(double)> on_first_token,
               const std::function<bool(std::string_view)>& on_token)
      : input_(input),
        now_(now),
        on_first_token_(std::move(on_first_token)),
        on_token_(on_token),
        last_token_at_(sent_at),
        sent_at_(sent_at),
        next_position_(input.resume_from) {}

  AttemptResult Read(std::istream& in);
  // Returns the result so far of a stream that failed.
  AttemptResult FailWith(AttemptOutcome outcome, std::string detail) {
    result_.outcome = outcome;
    result_.detail = std::move(detail);
    return result_;
  }

 private:
  using Outcome = std::optional<AttemptOutcome>;

  Outcome OnEvent(const std::string& data);
  Outcome OnText(const Chunk& chunk);
  void OnUsage(const Chunk& chunk);
  void RecordTokenTime();

  const AttemptInput& input_;
  const std::function<TimePoint()>& now_;
  std::function<void(double)> on_first_token_;
  const std::function<bool(std::string_view)>& on_token_;
  TimePoint last_token_at_;
  TimePoint sent_at_;
  int next_position_;
  int reported_tokens_ = -1;
  AttemptResult result_;
};

AttemptResult StreamReader::Read(std::istream& in) {
  constexpr std::string_view kDataPrefix = "data: ";
  std::string line;
  while (ReadLine(in, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (!line.starts_with(kDataPrefix))
      continue;
    if (const Outcome outcome = OnEvent(line.substr(kDataPrefix.size()))) {
      result_.outcome = *outcome;
      return result_;
    }
  }
  result_.outcome = AttemptOutcome::kCut;
  result_.detail = "stream ended without its terminal event";
  return result_;
}

StreamReader::Outcome StreamReader::OnEvent(const std::string& data) {
  if (data == "[DONE]") {
    const bool complete =
        !result_.finish_reason.empty() && reported_tokens_ == next_position_;
    if (!complete)
      result_.detail = "terminal event before the end of the response";
    return complete ? AttemptOutcome::kComplete : AttemptOutcome::kCut;
  }
  const auto chunk = ParseChunk(data);
  if (!chunk) {
    result_.detail = "malformed event";
    return AttemptOutcome::kCut;
  }
  if (chunk->id != input_.attempt_id) {
    result_.detail = "event belongs to another request";
    return AttemptOutcome::kForeign;
  }
  if (!chunk->finish_reason.empty())
    OnUsage(*chunk);
  return chunk->text.empty() ? std::nullopt : OnText(*chunk);
}

StreamReader::Outcome StreamReader::OnText(const Chunk& chunk) {
  if (chunk.position != next_position_) {
    result_.detail = "event out of order";
    return AttemptOutcome::kForeign;
  }
  RecordTokenTime();
  ++next_position_;
  if (!on_token_(chunk.text))
    return AttemptOutcome::kCallerGone;
  return std::nullopt;
}

void StreamReader::OnUsage(const Chunk& chunk) {
  result_.finish_reason = chunk.finish_reason;
  if (chunk.usage.isNull())
    return;
  reported_tokens_ = chunk.usage->optValue<int>("completion_tokens", -1);
  result_.report.prompt_tokens = chunk.usage->optValue<int>("prompt_tokens", 0);
  result_.report.cached_tokens = chunk.usage->optValue<int>("cached_tokens", 0);
  result_.report.imported_tokens =
      chunk.usage->optValue<int>("imported_tokens", 0);
  result_.report.import_ms = chunk.usage->optValue<double>("import_ms", 0);
}

void StreamReader::RecordTokenTime() {
  const TimePoint at = now_();
  if (result_.report.tokens++ == 0) {
    result_.report.first_token_ms = std::max(MillisBetween(sent_at_, at), 1e-3);
    on_first_token_(result_.report.first_token_ms);
  } else {
    result_.report.max_gap_ms =
        std::max(result_.report.max_gap_ms, MillisBetween(last_token_at_, at));
  }
  last_token_at_ = at;
}

Millis FirstTokenTimeout(const Placement& placement, Millis time_left) {
  const Millis expected(static_cast<std::int64_t>(placement.predicted_ms *
                                                  kFirstTokenTimeoutFactor));
  return std::max(Millis(1), std::min(time_left, expected + kFirstTokenMargin));
}

AttemptResult MakeResult(AttemptOutcome outcome,
                         std::string detail,
                         bool failed) {
  AttemptResult result;
  result.outcome = outcome;
  result.detail = std::move(detail);
  result.report.failed = failed;
  return result;
}

AttemptResult SendAndRead(const AttemptInput& input,
                          const std::string& path,
                          http::ClientSession& session,
                          StreamReader& reader,
                          Millis time_left) {
  Poco::Net::HTTPRequest message("POST", path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  const std::string body = RequestJson(input, time_left);
  message.setContentType("application/json");
  message.setContentLength64(static_cast<Poco::Int64>(body.size()));
  message.set("X-Request-Id", input.attempt_id);
  session.socket().setReceiveTimeout(
      http::ToTimespan(FirstTokenTimeout(*input.placement, time_left)));
  session.sendRequest(message) << body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& in = session.receiveResponse(response);
  if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
    return MakeResult(AttemptOutcome::kRefused,
                      "status " + std::to_string(response.getStatus()), true);
  }
  if (response.get("X-Request-Id", "") != input.attempt_id)
    return MakeResult(AttemptOutcome::kForeign, "response to another request",
                      true);
  AttemptResult result = reader.Read(in);
  // The connection can be reused once the stream's last chunk has been read.
  if (result.outcome == AttemptOutcome::kComplete)
    in.ignore(std::numeric_limits<std::streamsize>::max());
  return result;
}

}  // namespace

std::string_view AttemptOutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kComplete:
      return "complete";
    case AttemptOutcome::kNotSent:
      return "not-sent";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kCut:
      return "cut";
    case AttemptOutcome::kForeign:
      return "foreign";
    case AttemptOutcome::kCallerGone:
      return "caller-gone";
    case AttemptOutcome::kTimedOut:
      return "timed-out";
  }
  return "unknown";
}

AttemptResult RunAttempt(
    const AttemptInput& input,
    const std::function<TimePoint()>& now,
    http::ClientPool& pool,
    const std::function<void(double)>& on_first_token,
    const std::function<bool(std::string_view)>& on_token) {
  const auto url = http::ParseUrl(input.placement->url + "/v1/completions");
  if (!url)
    return MakeResult(AttemptOutcome::kNotSent, url.error().detail, true);
  auto taken = pool.Acquire(*url, kConnectTimeout);
  if (!taken)
    return MakeResult(AttemptOutcome::kNotSent, taken.error().detail, true);
  auto session = std::move(*taken);
  const TimePoint sent_at = now();
  const auto time_left =
      std::chrono::duration_cast<Millis>(input.deadline - sent_at);
  StreamReader reader(
      input, sent_at, now,
      [&](double ms) {
        // After the first token only the gap between tokens is limited.
        session->socket().setReceiveTimeout(http::ToTimespan(kTokenGapTimeout));
        on_first_token(ms);
      },
      on_token);
  AttemptResult result;
  try {
    result = SendAndRead(input, url->path, *session, reader, time_left);
  } catch (const Poco::TimeoutException&) {
    result = reader.FailWith(AttemptOutcome::kTimedOut,
                             "timed out waiting for data");
  } catch (const Poco::Exception& e) {
    result = reader.FailWith(AttemptOutcome::kCut, e.displayText());
  }
  result.report.ok = result.outcome == AttemptOutcome::kComplete;
  result.report.failed =
      !result.report.ok && result.outcome != AttemptOutcome::kCallerGone;
  result.report.empty_answer = result.report.ok && result.report.tokens == 0;
  if (result.report.ok) {
    pool.Release(*url, std::move(session));
  }
  return result;
}

}  // namespace endivecart::entry
