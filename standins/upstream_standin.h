#ifndef STANDINS_UPSTREAM_STANDIN_H_
#define STANDINS_UPSTREAM_STANDIN_H_

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "endivecart/http/http.h"
#include "json_body.h"

namespace standins {

struct UpstreamOptions {
  endivecart::settings::Endpoint listen;
  std::string id;
  std::string domain;
  std::string model;
  std::vector<std::string> versions;
  int capacity = 8;  // concurrent requests once warm
  int prefill_tokens_per_s = 16000;
  int token_ms = 2;                      // interval between tokens
  std::size_t cache_pieces = 64;         // size of the prefix cache
  std::size_t piece_bytes = 65536;       // size of an exported piece
  std::vector<std::string> announce_to;  // base URLs of entry hosts
  std::string announce_token;
  bool checks_fencing = false;  // refuses orders with an old fencing number
};

// A model upstream: prefills at a fixed rate, keeps a bounded prefix cache
// (LRU) and streams answers that are a function of the prompt. When cold it has
// capacity for one request; each request served raises that by one, up to
// UpstreamOptions::capacity.
class UpstreamStandin {
 public:
  explicit UpstreamStandin(UpstreamOptions options);
  ~UpstreamStandin();

  // Starts listening and announcing. Returns an error text, empty on success.
  std::string Start();

 private:
  struct Job;
  struct CachedPiece {
    std::string owner;
    std::string version;
    std::list<std::string>::iterator lru_position;
  };

  void Handle(endivecart::http::ServerRequest& request,
              endivecart::http::ServerResponse& response);
  void Complete(endivecart::http::ServerRequest& request,
                endivecart::http::ServerResponse& response);
  Job MakeJob(const Json& body, const std::string& request_id);
  void Import(const Json& plan, Job& job);
  void Prefill(Job& job);
  void Stream(const Job& job, endivecart::http::ServerResponse& response);
  bool StreamTokens(const Job& job, std::ostream& out);
  void AddToCache(const Job& job, const std::vector<std::string>& pieces);
  void Export(const Json& body);
  void Order(const Json& body, endivecart::http::ServerResponse& response);
  void Control(const Json& body);
  void Announce();
  Json::Ptr BuildLoadReport();
  Json::Ptr BuildStats();
  // Returns the value of an injected fault, 0 if it isn't set. A fault set for
  // `version` takes precedence over one for all versions.
  int FaultValue(const std::string& kind, const std::string& version);
  // Returns how many concurrent requests the stand-in has capacity for now.
  int CurrentCapacity() const;

  const UpstreamOptions options_;
  std::unique_ptr<endivecart::http::Server> server_;
  std::mutex mutex_;
  std::condition_variable stop_requested_;
  std::uint64_t incarnation_;
  std::uint64_t cache_epoch_ = 0;
  std::set<std::string> versions_;
  std::map<std::string, CachedPiece> cache_;
  std::list<std::string> lru_;  // most recently used first
  std::vector<std::string> events_;
  std::map<std::string, int> faults_;  // by kind or kind:version
  std::set<std::string> cancelled_;
  std::chrono::steady_clock::time_point prefill_free_at_;
  std::uint64_t newest_fence_ = 0;
  std::uint64_t refused_orders_ = 0;
  int running_ = 0;
  int queued_tokens_ = 0;
  int served_ = 0;      // requests since the last cold start
  int violations_ = 0;  // requests that arrived above the current capacity
  int max_running_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t prompt_tokens_ = 0;
  std::uint64_t cached_tokens_ = 0;
  std::uint64_t imported_tokens_ = 0;
  std::string last_answer_id_ = "none";
  bool leaving_ = false;
  bool stopping_ = false;
  std::thread announcer_;
};

}  // namespace standins

#endif  // STANDINS_UPSTREAM_STANDIN_H_
