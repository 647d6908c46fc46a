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
constexpr double kFirstTokenPatience = 4.0;  // times the prediction
constexpr Millis kFirstTokenFloor{2000};

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

// One event of the stream.
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

// Reads the events of one attempt's stream and checks that they are its own.
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
  // The result so far, for a stream that failed.
  AttemptResult Abandon(AttemptEnd end, std::string detail) {
    result_.end = end;
    result_.detail = std::move(detail);
    return result_;
  }

 private:
  using End = std::optional<AttemptEnd>;

  End OnEvent(const std::string& data);
  End OnText(const Chunk& chunk);
  void OnUsage(const Chunk& chunk);
  void NoteTokenTime();

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
  while (std::getline(in, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (!line.starts_with(kDataPrefix))
      continue;
    if (const End end = OnEvent(line.substr(kDataPrefix.size()))) {
      result_.end = *end;
      return result_;
    }
  }
  result_.end = AttemptEnd::kCut;
  result_.detail = "stream ended without its terminal mark";
  return result_;
}

StreamReader::End StreamReader::OnEvent(const std::string& data) {
  if (data == "[DONE]") {
    const bool whole =
        !result_.finish_reason.empty() && reported_tokens_ == next_position_;
    if (!whole)
      result_.detail = "terminal mark before the whole answer";
    return whole ? AttemptEnd::kComplete : AttemptEnd::kCut;
  }
  const auto chunk = ParseChunk(data);
  if (!chunk) {
    result_.detail = "malformed event";
    return AttemptEnd::kCut;
  }
  if (chunk->id != input_.attempt_id) {
    result_.detail = "event of another request";
    return AttemptEnd::kForeign;
  }
  if (!chunk->finish_reason.empty())
    OnUsage(*chunk);
  return chunk->text.empty() ? std::nullopt : OnText(*chunk);
}

StreamReader::End StreamReader::OnText(const Chunk& chunk) {
  if (chunk.position != next_position_) {
    result_.detail = "event out of order";
    return AttemptEnd::kForeign;
  }
  NoteTokenTime();
  ++next_position_;
  if (!on_token_(chunk.text))
    return AttemptEnd::kCallerGone;
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

void StreamReader::NoteTokenTime() {
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
  const Millis patience(
      static_cast<std::int64_t>(placement.predicted_ms * kFirstTokenPatience));
  return std::max(Millis(1), std::min(time_left, patience + kFirstTokenFloor));
}

AttemptResult Ended(AttemptEnd end, std::string detail, bool failed) {
  AttemptResult result;
  result.end = end;
  result.detail = std::move(detail);
  result.report.failed = failed;
  return result;
}

AttemptResult Exchange(const AttemptInput& input,
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
    return Ended(AttemptEnd::kRefused,
                 "status " + std::to_string(response.getStatus()), true);
  }
  if (response.get("X-Request-Id", "") != input.attempt_id)
    return Ended(AttemptEnd::kForeign, "answer to another request", true);
  AttemptResult result = reader.Read(in);
  // The connection can serve again once the stream's closing chunk is read.
  if (result.end == AttemptEnd::kComplete)
    in.ignore(std::numeric_limits<std::streamsize>::max());
  return result;
}

}  // namespace

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kComplete:
      return "complete";
    case AttemptEnd::kNotSent:
      return "not-sent";
    case AttemptEnd::kRefused:
      return "refused";
    case AttemptEnd::kCut:
      return "cut";
    case AttemptEnd::kForeign:
      return "foreign";
    case AttemptEnd::kCallerGone:
      return "caller-gone";
    case AttemptEnd::kTimedOut:
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
    return Ended(AttemptEnd::kNotSent, url.error().detail, true);
  auto taken = pool.Take(*url, kConnectTimeout);
  if (!taken)
    return Ended(AttemptEnd::kNotSent, taken.error().detail, true);
  auto session = std::move(*taken);
  const TimePoint sent_at = now();
  const auto time_left =
      std::chrono::duration_cast<Millis>(input.deadline - sent_at);
  StreamReader reader(
      input, sent_at, now,
      [&](double ms) {
        // From now on tokens must come quickly.
        session->socket().setReceiveTimeout(http::ToTimespan(kTokenGapTimeout));
        on_first_token(ms);
      },
      on_token);
  AttemptResult result;
  try {
    result = Exchange(input, url->path, *session, reader, time_left);
  } catch (const Poco::TimeoutException&) {
    result = reader.Abandon(AttemptEnd::kTimedOut, "no data in time");
  } catch (const Poco::Exception& e) {
    result = reader.Abandon(AttemptEnd::kCut, e.displayText());
  }
  result.report.ok = result.end == AttemptEnd::kComplete;
  result.report.failed =
      !result.report.ok && result.end != AttemptEnd::kCallerGone;
  result.report.empty_answer = result.report.ok && result.report.tokens == 0;
  if (result.report.ok) {
    pool.GiveBack(*url, std::move(session));
  }
  return result;
}

}  // namespace endivecart::entry
