#ifndef STANDINS_STORE_STANDIN_H_
#define STANDINS_STORE_STANDIN_H_

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "endivecart/http/http.h"
#include "json_body.h"

namespace standins {

struct StoreOptions {
  endivecart::settings::Endpoint listen;
  std::int64_t link_bytes_per_s = 50LL << 20;
  std::int64_t capacity_bytes = 1LL << 30;
};

// A store for cache pieces. A piece is written, sealed (listed and readable)
// and freed; each write of a piece gets a new generation. Supports read leases
// and limits the link's rate.
class StoreStandin {
 public:
  explicit StoreStandin(StoreOptions options);
  // Starts listening. Returns an error text, empty on success.
  std::string Start();

 private:
  struct Piece {
    std::uint64_t generation = 0;
    bool sealed = false;
    std::string customer;
    std::string model;
    std::string version;
    std::string checksum;
    std::string content;
    int uses = 0;
    std::chrono::steady_clock::time_point last_use;
    std::chrono::steady_clock::time_point leased_until;
  };

  void Handle(endivecart::http::ServerRequest& request,
              endivecart::http::ServerResponse& response);
  void List(endivecart::http::ServerRequest& request,
            endivecart::http::ServerResponse& response);
  void Put(const std::string& name,
           endivecart::http::ServerRequest& request,
           endivecart::http::ServerResponse& response);
  void Get(const std::string& name,
           endivecart::http::ServerRequest& request,
           endivecart::http::ServerResponse& response);
  void Free(const std::string& name,
            endivecart::http::ServerRequest& request,
            endivecart::http::ServerResponse& response);
  void Lease(const Json& body, endivecart::http::ServerResponse& response);
  void Usage(endivecart::http::ServerResponse& response);
  // Blocks for as long as the link needs to transfer `bytes`.
  void OccupyLink(std::size_t bytes);
  Json::Ptr Event(const std::string& kind,
                  const std::string& name,
                  const Piece& piece) const;

  const StoreOptions options_;
  std::unique_ptr<endivecart::http::Server> server_;
  std::mutex mutex_;
  std::uint64_t epoch_;
  std::uint64_t next_generation_ = 1;
  std::map<std::string, Piece> pieces_;
  std::vector<Json::Ptr> events_;
  std::int64_t bytes_ = 0;
  std::uint64_t link_bytes_ = 0;
  int link_slowdown_ = 1;
  bool dead_ = false;  // answers 503 to everything but /control
  std::chrono::steady_clock::time_point link_free_at_;
};

}  // namespace standins

#endif  // STANDINS_STORE_STANDIN_H_
