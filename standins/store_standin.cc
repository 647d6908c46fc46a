#include "store_standin.h"

#include <algorithm>
#include <thread>

namespace standins {

namespace http = endivecart::http;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kReadLease = std::chrono::seconds(30);
constexpr std::size_t kMaxPieceBytes = 64UL << 20;
constexpr std::string_view kPiecePath = "/pieces/";

std::uint64_t ToNumber(const std::string& text) {
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

StoreStandin::StoreStandin(StoreOptions options)
    : options_(std::move(options)),
      epoch_(static_cast<std::uint64_t>(
          std::chrono::system_clock::now().time_since_epoch() /
          std::chrono::milliseconds(1))),
      link_free_at_(Clock::now()) {}

std::string StoreStandin::Start() {
  endivecart::settings::CallerLimits limits;
  limits.max_connections = 1024;
  auto server = http::Server::Start(
      options_.listen, limits,
      [this](auto& request, auto& response) { Handle(request, response); });
  if (!server)
    return server.error().detail;
  server_ = std::move(*server);
  return {};
}

void StoreStandin::Handle(http::ServerRequest& request,
                          http::ServerResponse& response) {
  const std::string path = PathOf(request);
  const std::string method = request.getMethod();
  if (path == "/control") {
    const Json::Ptr body = ReadJson(request);
    std::scoped_lock lock(mutex_);
    dead_ = body->optValue<bool>("dead", dead_);
    link_slowdown_ = body->optValue<int>("link_slowdown", link_slowdown_);
    return SendStatus(response, 200);
  }
  {
    std::scoped_lock lock(mutex_);
    if (dead_)
      return SendStatus(response, 503);
  }
  if (path == "/pieces" && method == "GET")
    return List(request, response);
  if (path == "/usage")
    return Usage(response);
  if (path == "/leases") {
    const Json::Ptr body = ReadJson(request);
    return body.isNull() ? SendStatus(response, 400) : Lease(*body, response);
  }
  if (!path.starts_with(kPiecePath))
    return SendStatus(response, 404);
  const std::string name = path.substr(kPiecePath.size());
  if (method == "PUT")
    return Put(name, request, response);
  if (method == "DELETE")
    return Free(name, request, response);
  Get(name, request, response);
}

void StoreStandin::OccupyLink(std::size_t bytes) {
  Clock::time_point done;
  {
    std::scoped_lock lock(mutex_);
    link_bytes_ += bytes;
    link_free_at_ = std::max(link_free_at_, Clock::now()) +
                    std::chrono::microseconds(static_cast<std::int64_t>(
                        static_cast<double>(bytes) * link_slowdown_ * 1e6 /
                        static_cast<double>(options_.link_bytes_per_s)));
    done = link_free_at_;
  }
  std::this_thread::sleep_until(done);
}

Json::Ptr StoreStandin::Event(const std::string& kind,
                              const std::string& name,
                              const Piece& piece) const {
  Json::Ptr event = new Json;
  event->set("kind", kind);
  event->set("name", name);
  event->set("generation", static_cast<Poco::UInt64>(piece.generation));
  event->set("customer", piece.customer);
  event->set("model", piece.model);
  event->set("version", piece.version);
  event->set("bytes", static_cast<Poco::Int64>(piece.content.size()));
  event->set("checksum", piece.checksum);
  return event;
}

void StoreStandin::List(http::ServerRequest& request,
                        http::ServerResponse& response) {
  const auto epoch = ToNumber(QueryValue(request, "epoch"));
  const auto after = ToNumber(QueryValue(request, "after"));
  std::scoped_lock lock(mutex_);
  Poco::JSON::Array::Ptr events = new Poco::JSON::Array;
  if (epoch != epoch_) {
    for (const auto& [name, piece] : pieces_) {
      if (piece.sealed)
        events->add(Event("sealed", name, piece));
    }
  } else {
    for (std::size_t i = after; i < events_.size(); ++i)
      events->add(events_[i]);
  }
  Json reply;
  reply.set("epoch", static_cast<Poco::UInt64>(epoch_));
  reply.set("next", static_cast<Poco::UInt64>(events_.size()));
  reply.set("events", events);
  SendJson(response, reply);
}

void StoreStandin::Put(const std::string& name,
                       http::ServerRequest& request,
                       http::ServerResponse& response) {
  auto content =
      http::ReadBody(request, kMaxPieceBytes, endivecart::Millis(30000));
  if (!content ||
      endivecart::Sha256Hex(*content) != request.get("X-Checksum", "")) {
    return SendStatus(response, 400);
  }
  {
    std::scoped_lock lock(mutex_);
    if (pieces_.contains(name))
      return SendStatus(response, 200);
    if (bytes_ + static_cast<std::int64_t>(content->size()) >
        options_.capacity_bytes) {
      return SendStatus(response, 507);
    }
    // Reserves the capacity; the piece is listed and readable once it is
    // sealed.
    pieces_[name].generation = next_generation_++;
    bytes_ += static_cast<std::int64_t>(content->size());
  }
  OccupyLink(content->size());
  std::scoped_lock lock(mutex_);
  Piece& piece = pieces_[name];
  piece.customer = request.get("X-Customer", "");
  piece.model = request.get("X-Model", "");
  piece.version = request.get("X-Version", "");
  piece.checksum = request.get("X-Checksum", "");
  piece.content = std::move(*content);
  piece.last_use = Clock::now();
  piece.sealed = true;
  events_.push_back(Event("sealed", name, piece));
  SendStatus(response, 200);
}

void StoreStandin::Get(const std::string& name,
                       http::ServerRequest& request,
                       http::ServerResponse& response) {
  const auto generation = ToNumber(QueryValue(request, "generation"));
  std::string content;
  {
    std::scoped_lock lock(mutex_);
    const auto it = pieces_.find(name);
    if (it == pieces_.end() || !it->second.sealed ||
        it->second.generation != generation) {
      return SendStatus(response, 404);
    }
    content = it->second.content;
    ++it->second.uses;
    it->second.last_use = Clock::now();
  }
  OccupyLink(content.size());
  http::Send(response, 200, "application/octet-stream", content);
}

void StoreStandin::Free(const std::string& name,
                        http::ServerRequest& request,
                        http::ServerResponse& response) {
  const auto generation = ToNumber(QueryValue(request, "generation"));
  std::scoped_lock lock(mutex_);
  const auto it = pieces_.find(name);
  if (it == pieces_.end() || it->second.generation != generation)
    return SendStatus(response, 404);
  if (Clock::now() < it->second.leased_until)
    return SendStatus(response, 409);
  bytes_ -= static_cast<std::int64_t>(it->second.content.size());
  events_.push_back(Event("freed", name, it->second));
  pieces_.erase(it);
  SendStatus(response, 200);
}

void StoreStandin::Lease(const Json& body, http::ServerResponse& response) {
  const auto wanted = body.getArray("pieces");
  std::scoped_lock lock(mutex_);
  bool leased = !wanted.isNull();
  for (unsigned i = 0; leased && i < wanted->size(); ++i) {
    const auto entry = wanted->getObject(i);
    const auto it = pieces_.find(entry->getValue<std::string>("name"));
    leased =
        it != pieces_.end() && it->second.sealed &&
        it->second.generation == entry->getValue<Poco::UInt64>("generation");
    if (leased)
      it->second.leased_until = Clock::now() + kReadLease;
  }
  Json reply;
  reply.set("leased", leased);
  SendJson(response, reply);
}

void StoreStandin::Usage(http::ServerResponse& response) {
  std::scoped_lock lock(mutex_);
  Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
  for (const auto& [name, piece] : pieces_) {
    if (!piece.sealed)
      continue;
    Json::Ptr entry = Event("sealed", name, piece);
    entry->set("uses", piece.uses);
    entry->set(
        "idle_s",
        std::chrono::duration<double>(Clock::now() - piece.last_use).count());
    entry->set("recompute_ms", 250);
    list->add(entry);
  }
  Json reply;
  reply.set("bytes", bytes_);
  reply.set("link_bytes", static_cast<Poco::UInt64>(link_bytes_));
  reply.set("pieces", list);
  SendJson(response, reply);
}

}  // namespace standins
