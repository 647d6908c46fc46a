#include "upstream_standin.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <ostream>
#include <sstream>

#include "answer_function.h"
#include "endivecart/cache/cache.h"

namespace standins {

namespace http = endivecart::http;

namespace {

constexpr auto kAnnounceInterval = std::chrono::milliseconds(500);
constexpr int kOverloadSlowdown = 10;  // factor on prefill time
constexpr int kMaxEvents = 10000;

using Clock = std::chrono::steady_clock;

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string PieceContent(const std::string& name, std::size_t bytes) {
  std::string content;
  content.reserve(bytes + name.size());
  while (content.size() < bytes)
    content += name;
  content.resize(bytes);
  return content;
}

std::string ToText(const Json& json) {
  std::ostringstream out;
  json.stringify(out);
  return out.str();
}

}  // namespace

struct UpstreamStandin::Job {
  std::string id;
  std::string digest;
  std::string owner;
  std::string version;
  std::vector<std::string> pieces;
  int tokens = 0;
  int answer_length = 0;
  int resume_from = 0;
  bool cut_by_max_tokens = false;
  int cached = 0;
  int imported = 0;
  double import_ms = 0;
};

UpstreamStandin::UpstreamStandin(UpstreamOptions options)
    : options_(std::move(options)),
      incarnation_(static_cast<std::uint64_t>(
          std::chrono::system_clock::now().time_since_epoch() /
          std::chrono::milliseconds(1))),
      versions_(options_.versions.begin(), options_.versions.end()),
      prefill_free_at_(Clock::now()) {}

UpstreamStandin::~UpstreamStandin() {
  {
    std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  if (announcer_.joinable())
    announcer_.join();
}

std::string UpstreamStandin::Start() {
  endivecart::settings::CallerLimits limits;
  limits.idle_timeout = std::chrono::minutes(10);
  limits.max_connections = 1024;
  auto server = http::Server::Start(
      options_.listen, limits,
      [this](auto& request, auto& response) { Handle(request, response); });
  if (!server)
    return server.error().detail;
  server_ = std::move(*server);
  announcer_ = std::thread([this] { Announce(); });
  return {};
}

int UpstreamStandin::CurrentCapacity() const {
  return std::min(options_.capacity, 1 + served_);
}

int UpstreamStandin::FaultValue(const std::string& kind,
                                const std::string& version) {
  std::scoped_lock lock(mutex_);
  for (const std::string& key : {kind + ":" + version, kind}) {
    const auto it = faults_.find(key);
    if (it != faults_.end())
      return it->second;
  }
  return 0;
}

void UpstreamStandin::Handle(http::ServerRequest& request,
                             http::ServerResponse& response) {
  const std::string path = PathOf(request);
  if (path == "/v1/completions") {
    Complete(request, response);
    return;
  }
  if (path == "/load")
    return SendJson(response, *BuildLoadReport());
  if (path == "/stats")
    return SendJson(response, *BuildStats());
  if (path == "/cache/events") {
    const std::string after = QueryValue(request, "after");
    std::scoped_lock lock(mutex_);
    Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
    for (std::size_t i = after.empty() ? 0 : std::stoul(after);
         i < events_.size(); ++i) {
      list->add(events_[i]);
    }
    Json reply;
    reply.set("next", static_cast<Poco::UInt64>(events_.size()));
    reply.set("events", list);
    return SendJson(response, reply);
  }
  const Json::Ptr body = ReadJson(request);
  if (body.isNull())
    return SendStatus(response, 400);
  if (path == "/cache/export") {
    Export(*body);
    return SendStatus(response, 200);
  }
  if (path == "/orders")
    return Order(*body, response);
  if (path == "/cancel") {
    std::scoped_lock lock(mutex_);
    cancelled_.insert(body->optValue<std::string>("id", ""));
    return SendStatus(response, 200);
  }
  if (path == "/control") {
    Control(*body);
    return SendStatus(response, 200);
  }
  SendStatus(response, 404);
}

UpstreamStandin::Job UpstreamStandin::MakeJob(const Json& body,
                                              const std::string& request_id) {
  Job job;
  const auto prompt = body.optValue<std::string>("prompt", "");
  const int max_tokens = body.optValue<int>("max_tokens", 16);
  job.id = request_id;
  job.digest = PromptDigest(prompt);
  job.owner = body.optValue<std::string>("cache_owner", "");
  job.version = body.optValue<std::string>("version", "");
  job.pieces = Strings(body, "cache_pieces");
  job.tokens = endivecart::cache::EstimateTokens(prompt);
  job.answer_length = AnswerLength(prompt, max_tokens);
  job.cut_by_max_tokens = job.answer_length == max_tokens;
  job.resume_from = body.optValue<int>("resume_from", 0);
  return job;
}

void UpstreamStandin::Complete(http::ServerRequest& request,
                               http::ServerResponse& response) {
  const std::string id = request.get("X-Request-Id", "");
  const Json::Ptr body = ReadJson(request);
  if (body.isNull())
    return SendStatus(response, 400);
  Job job = MakeJob(*body, id);
  {
    std::scoped_lock lock(mutex_);
    if (!versions_.contains(job.version))
      return SendStatus(response, 404);
    ++requests_;
    ++running_;
    max_running_ = std::max(max_running_, running_);
    if (running_ > CurrentCapacity())
      ++violations_;
  }
  if (FaultValue("fail", job.version) > 0) {
    std::scoped_lock lock(mutex_);
    --running_;
    return SendStatus(response, 500);
  }
  const Json::Ptr import = body->getObject("kv_import");
  if (!import.isNull())
    Import(*import, job);
  Prefill(job);
  Stream(job, response);
  std::scoped_lock lock(mutex_);
  --running_;
  ++served_;
  last_answer_id_ = id;
}

void UpstreamStandin::Import(const Json& plan, Job& job) {
  const auto store = plan.optValue<std::string>("store", "");
  const auto pieces = plan.getArray("pieces");
  const auto start = Clock::now();
  std::vector<std::string> imported;
  for (unsigned i = 0; !pieces.isNull() && i < pieces->size(); ++i) {
    const auto piece = pieces->getObject(i);
    const auto name = piece->getValue<std::string>("name");
    {
      std::scoped_lock lock(mutex_);
      if (cache_.contains(name))
        continue;
    }
    http::CallRequest get;
    get.url = store + "/pieces/" + name +
              "?generation=" + piece->getValue<std::string>("generation");
    const auto reply = http::Call(get);
    // A missing, damaged or different piece counts as a cache miss.
    if (!reply || reply->status != 200 ||
        endivecart::Sha256Hex(reply->body) !=
            piece->getValue<std::string>("checksum")) {
      break;
    }
    imported.push_back(name);
  }
  job.imported =
      static_cast<int>(imported.size()) * endivecart::cache::kPieceTokens;
  job.import_ms =
      std::chrono::duration<double, std::milli>(Clock::now() - start).count();
  AddToCache(job, imported);
}

void UpstreamStandin::AddToCache(const Job& job,
                                 const std::vector<std::string>& pieces) {
  std::scoped_lock lock(mutex_);
  for (const std::string& name : pieces) {
    const auto it = cache_.find(name);
    if (it != cache_.end())
      lru_.erase(it->second.lru_position);
    else if (events_.size() < kMaxEvents)
      events_.push_back("added " + name);
    lru_.push_front(name);
    cache_[name] = {job.owner, job.version, lru_.begin()};
  }
  while (cache_.size() > options_.cache_pieces) {
    cache_.erase(lru_.back());
    lru_.pop_back();
  }
}

void UpstreamStandin::Prefill(Job& job) {
  const int slow = std::max(1, FaultValue("slow", job.version));
  std::unique_lock lock(mutex_);
  for (const std::string& name : job.pieces) {
    const auto it = cache_.find(name);
    if (it == cache_.end() || it->second.owner != job.owner ||
        it->second.version != job.version) {
      break;
    }
    job.cached += endivecart::cache::kPieceTokens;
  }
  const int tokens = std::max(1, job.tokens - job.cached) * slow;
  prompt_tokens_ += static_cast<std::uint64_t>(job.tokens);
  cached_tokens_ += static_cast<std::uint64_t>(job.cached);
  imported_tokens_ += static_cast<std::uint64_t>(job.imported);
  queued_tokens_ += tokens;
  const double overload = running_ > CurrentCapacity() ? kOverloadSlowdown : 1;
  prefill_free_at_ =
      std::max(prefill_free_at_, Clock::now()) +
      std::chrono::microseconds(static_cast<std::int64_t>(
          overload * tokens * 1e6 / options_.prefill_tokens_per_s));
  const auto ready = prefill_free_at_;
  lock.unlock();
  std::this_thread::sleep_until(ready);
  lock.lock();
  queued_tokens_ -= tokens;
  lock.unlock();
  AddToCache(job, job.pieces);
}

void UpstreamStandin::Stream(const Job& job, http::ServerResponse& response) {
  std::string echo = job.id;
  if (FaultValue("crossed", job.version) > 0) {
    std::scoped_lock lock(mutex_);
    echo = last_answer_id_;
  }
  response.set("X-Request-Id", echo);
  response.setContentType("text/event-stream");
  response.setChunkedTransferEncoding(true);
  std::ostream& out = response.send();
  if (!StreamTokens(job, out)) {
    response.setKeepAlive(false);
    // Closes the connection without the final chunk.
    throw Poco::Exception("stream aborted");
  }
  const int count = FaultValue("empty", job.version) > 0 ? job.resume_from
                                                         : job.answer_length;
  out << "data: {\"id\":" << Quoted(job.id) << ",\"position\":" << count
      << ",\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":"
      << (job.cut_by_max_tokens ? "\"length\"" : "\"stop\"")
      << "}],\"usage\":{\"prompt_tokens\":" << job.tokens
      << ",\"completion_tokens\":" << count
      << ",\"cached_tokens\":" << job.cached
      << ",\"imported_tokens\":" << job.imported
      << ",\"import_ms\":" << job.import_ms << "}}\n\n"
      << "data: [DONE]\n\n"
      << std::flush;
}

bool UpstreamStandin::StreamTokens(const Job& job, std::ostream& out) {
  if (FaultValue("empty", job.version) > 0)
    return true;
  const int cut_after = FaultValue("cut", job.version);
  const int gap =
      options_.token_ms * std::max(1, FaultValue("slow", job.version)) +
      FaultValue("late_ms", job.version);
  for (int i = job.resume_from; i < job.answer_length; ++i) {
    if (cut_after > 0 && i - job.resume_from >= cut_after)
      return false;
    {
      std::scoped_lock lock(mutex_);
      if (cancelled_.contains(job.id))
        return false;
    }
    out << "data: {\"id\":" << Quoted(job.id) << ",\"position\":" << i
        << ",\"choices\":[{\"index\":0,\"text\":"
        << Quoted(AnswerToken(job.digest, i))
        << ",\"finish_reason\":null}]}\n\n"
        << std::flush;
    if (!out.good())
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(gap));
  }
  return true;
}

void UpstreamStandin::Export(const Json& body) {
  const auto store = body.optValue<std::string>("store", "");
  const auto customer = body.optValue<std::string>("customer", "");
  for (const std::string& name : Strings(body, "pieces")) {
    {
      std::scoped_lock lock(mutex_);
      const auto it = cache_.find(name);
      if (it == cache_.end() || it->second.owner != customer)
        return;
    }
    http::CallRequest put;
    put.method = "PUT";
    put.url = store + "/pieces/" + name;
    put.body = PieceContent(name, options_.piece_bytes);
    put.headers = {{"X-Customer", customer},
                   {"X-Model", body.optValue<std::string>("model", "")},
                   {"X-Version", body.optValue<std::string>("version", "")},
                   {"X-Checksum", endivecart::Sha256Hex(put.body)}};
    http::Call(put);
  }
}

void UpstreamStandin::Order(const Json& body, http::ServerResponse& response) {
  const auto fence = body.optValue<Poco::UInt64>("fence", 0);
  const auto action = body.optValue<std::string>("action", "");
  const auto version = body.optValue<std::string>("version", "");
  {
    std::scoped_lock lock(mutex_);
    if (options_.checks_fencing && fence < newest_fence_) {
      ++refused_orders_;
      SendStatus(response, 409);
      return;
    }
    newest_fence_ = std::max<std::uint64_t>(newest_fence_, fence);
  }
  std::this_thread::sleep_for(
      std::chrono::milliseconds(body.optValue<int>("takes_ms", 1000)));
  {
    std::scoped_lock lock(mutex_);
    if (action == "load")
      versions_.insert(version);
    if (action == "unload")
      versions_.erase(version);
  }
  SendStatus(response, 200);
}

void UpstreamStandin::Control(const Json& body) {
  std::scoped_lock lock(mutex_);
  if (body.has("fault"))
    faults_[body.getValue<std::string>("fault")] =
        body.optValue<int>("value", 1);
  if (body.optValue<bool>("clear_faults", false))
    faults_.clear();
  if (body.optValue<bool>("clear_cache", false) ||
      body.optValue<bool>("cold", false)) {
    cache_.clear();
    lru_.clear();
    events_.emplace_back("cleared");
    ++cache_epoch_;
  }
  if (body.optValue<bool>("cold", false))
    served_ = 0;
  if (body.optValue<bool>("restart", false))
    ++incarnation_, served_ = 0;
  leaving_ = body.optValue<bool>("leaving", leaving_);
}

Json::Ptr UpstreamStandin::BuildLoadReport() {
  std::scoped_lock lock(mutex_);
  Json::Ptr json = new Json;
  json->set("id", options_.id);
  json->set("url", "http://" + options_.listen.ToString());
  json->set("domain", options_.domain);
  json->set("model", options_.model);
  Poco::JSON::Array::Ptr versions = new Poco::JSON::Array;
  for (const std::string& version : versions_)
    versions->add(version);
  json->set("versions", versions);
  json->set("incarnation", static_cast<Poco::UInt64>(incarnation_));
  json->set("cache_epoch", static_cast<Poco::UInt64>(cache_epoch_));
  json->set("capacity", options_.capacity);
  json->set("prefill_tokens_per_s", options_.prefill_tokens_per_s);
  json->set("queued_tokens", queued_tokens_);
  json->set("running", running_);
  json->set("leaving", leaving_);
  return json;
}

Json::Ptr UpstreamStandin::BuildStats() {
  Json::Ptr json = BuildLoadReport();
  std::scoped_lock lock(mutex_);
  json->set("requests", static_cast<Poco::UInt64>(requests_));
  json->set("violations", violations_);
  json->set("max_running", max_running_);
  json->set("prompt_tokens", static_cast<Poco::UInt64>(prompt_tokens_));
  json->set("cached_tokens", static_cast<Poco::UInt64>(cached_tokens_));
  json->set("imported_tokens", static_cast<Poco::UInt64>(imported_tokens_));
  json->set("refused_orders", static_cast<Poco::UInt64>(refused_orders_));
  return json;
}

void UpstreamStandin::Announce() {
  std::string report = ToText(*BuildLoadReport());
  while (true) {
    for (const std::string& url : options_.announce_to) {
      http::CallRequest call;
      call.method = "POST";
      call.url = url + "/v1/announce";
      call.body = report;
      call.headers["Authorization"] = "Bearer " + options_.announce_token;
      call.connect_timeout = std::chrono::milliseconds(200);
      call.timeout = std::chrono::milliseconds(500);
      http::Call(call);
    }
    // Reports lag as in real upstreams: the next one is built now but sent
    // after the interval.
    report = ToText(*BuildLoadReport());
    std::unique_lock lock(mutex_);
    stop_requested_.wait_for(lock, kAnnounceInterval,
                             [this] { return stopping_; });
    if (stopping_)
      return;
  }
}

}  // namespace standins
