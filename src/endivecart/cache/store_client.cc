#include "endivecart/cache/store_client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <utility>

#include "endivecart/http/http.h"

namespace endivecart::cache {

namespace {

using Object = Poco::JSON::Object;

constexpr Millis kConnectTimeout{300};
constexpr Millis kResponseTimeout{1000};
constexpr int kOk = 200;

Result<Object::Ptr, CacheError> CallStore(const std::string& method,
                                          const std::string& url,
                                          const std::string& body) {
  http::CallRequest request;
  request.method = method;
  request.url = url;
  request.body = body;
  request.connect_timeout = kConnectTimeout;
  request.timeout = kResponseTimeout;
  const auto reply = http::Call(request);
  if (!reply) {
    return Fail(
        CacheError{CacheErrorCode::kStoreUnreachable, reply.error().detail});
  }
  if (reply->status != kOk) {
    return Fail(CacheError{CacheErrorCode::kStoreRefused,
                           "status " + std::to_string(reply->status)});
  }
  try {
    Poco::JSON::Parser parser;
    return parser.parse(reply->body).extract<Object::Ptr>();
  } catch (const Poco::Exception& e) {
    return Fail(CacheError{CacheErrorCode::kMalformed, e.displayText()});
  }
}

StoreEvent ReadEvent(const Object& object) {
  StoreEvent event;
  event.sealed = object.getValue<std::string>("kind") == "sealed";
  event.piece.name = object.getValue<std::string>("name");
  event.piece.generation = object.getValue<Poco::UInt64>("generation");
  if (!event.sealed)
    return event;
  event.piece.owner = {CustomerId(object.getValue<std::string>("customer")),
                       ModelId(object.getValue<std::string>("model")),
                       VersionId(object.getValue<std::string>("version"))};
  event.piece.bytes = object.getValue<std::int64_t>("bytes");
  event.piece.checksum = object.getValue<std::string>("checksum");
  return event;
}

PieceUsage ReadPieceUsage(const Object& object) {
  PieceUsage piece;
  piece.name = object.getValue<std::string>("name");
  piece.generation = object.getValue<Poco::UInt64>("generation");
  piece.customer = CustomerId(object.getValue<std::string>("customer"));
  piece.bytes = object.getValue<std::int64_t>("bytes");
  piece.uses = object.getValue<int>("uses");
  piece.idle_s = object.getValue<double>("idle_s");
  piece.recompute_ms = object.optValue<double>("recompute_ms", 1);
  return piece;
}

// Calls `read` for each object of the array at `key`; returns false if the
// array or an object is malformed.
template <class Function>
bool ForEach(const Object& object, const std::string& key, Function read) {
  try {
    const auto array = object.getArray(key);
    if (array.isNull())
      return false;
    for (unsigned i = 0; i < array->size(); ++i)
      read(*array->getObject(i));
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

auto MalformedResponse() {
  return Fail(CacheError{CacheErrorCode::kMalformed, "unexpected response"});
}

}  // namespace

Result<StoreListing, CacheError> ListStore(const std::string& url,
                                           std::uint64_t epoch,
                                           std::uint64_t after) {
  const auto reply = CallStore("GET",
                               url + "/pieces?epoch=" + std::to_string(epoch) +
                                   "&after=" + std::to_string(after),
                               "");
  if (!reply)
    return Fail(reply.error());
  StoreListing listing;
  listing.epoch = (*reply)->optValue<Poco::UInt64>("epoch", 0);
  listing.next = (*reply)->optValue<Poco::UInt64>("next", 0);
  const bool ok = ForEach(**reply, "events", [&](const Object& object) {
    listing.events.push_back(ReadEvent(object));
  });
  if (!ok)
    return MalformedResponse();
  return listing;
}

Result<bool, CacheError> LeasePieces(const std::string& url,
                                     const std::vector<StoredPiece>& pieces) {
  std::string list;
  for (const StoredPiece& piece : pieces) {
    list += (list.empty() ? "" : ",") + std::string("{\"name\":\"") +
            piece.name +
            "\",\"generation\":" + std::to_string(piece.generation) + "}";
  }
  const auto reply =
      CallStore("POST", url + "/leases", "{\"pieces\":[" + list + "]}");
  if (!reply)
    return Fail(reply.error());
  return (*reply)->optValue<bool>("leased", false);
}

Result<StoreUsage, CacheError> ReadStoreUsage(const std::string& url) {
  const auto reply = CallStore("GET", url + "/usage", "");
  if (!reply)
    return Fail(reply.error());
  StoreUsage usage;
  usage.bytes = (*reply)->optValue<std::int64_t>("bytes", 0);
  const bool ok = ForEach(**reply, "pieces", [&](const Object& object) {
    usage.pieces.push_back(ReadPieceUsage(object));
  });
  if (!ok)
    return MalformedResponse();
  return usage;
}

Result<bool, CacheError> FreePiece(const std::string& url,
                                   const PieceUsage& piece) {
  const auto reply = CallStore("DELETE",
                               url + "/pieces/" + piece.name + "?generation=" +
                                   std::to_string(piece.generation),
                               "");
  if (!reply)
    return Fail(reply.error());
  return true;
}

}  // namespace endivecart::cache
