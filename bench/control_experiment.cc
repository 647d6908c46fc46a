#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "experiments.h"
#include "load_client.h"

namespace bench {

namespace {

namespace http = endivecart::http;
using endivecart::LatencyHistogram;
using endivecart::Millis;
using Json = Poco::JSON::Object;

constexpr Millis kInForceTimeout{20000};
constexpr Millis kProbeInterval{2};

double MillisSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

Json::Ptr Parse(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Json::Ptr>();
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

http::CallRequest OperatorCall(const SiteTargets& site,
                               const std::string& url,
                               const std::string& path) {
  http::CallRequest request;
  request.url = url + path;
  request.headers["Authorization"] = "Bearer " + site.operator_token;
  request.timeout = Millis(6000);
  return request;
}

Json::Ptr OperatorGet(const SiteTargets& site,
                      const std::string& url,
                      const std::string& path) {
  const auto reply = http::Call(OperatorCall(site, url, path));
  return reply && reply->status == 200 ? Parse(reply->body) : nullptr;
}

std::string LeaderUrl(const SiteTargets& site) {
  for (const std::string& url : site.operators) {
    const Json::Ptr status = OperatorGet(site, url, "/v1/status");
    if (!status.isNull() && status->optValue<bool>("is_leader", false))
      return url;
  }
  return {};
}

// Resends a change until its outcome is known. Returns false on a conflict with
// another change or on a timeout.
bool SendChange(const SiteTargets& site,
                const std::string& id,
                const std::string& patch,
                std::mt19937_64& random,
                std::uint64_t& revision) {
  const auto end = Clock::now() + kInForceTimeout;
  while (Clock::now() < end) {
    http::CallRequest request = OperatorCall(
        site, site.operators[random() % site.operators.size()], "/v1/config");
    request.method = "POST";
    request.body = "{\"change_id\":\"" + id + "\",\"patch\":" + patch + "}";
    const auto reply = http::Call(request);
    if (reply && reply->status == 200) {
      const Json::Ptr json = Parse(reply->body);
      revision = json->optValue<Poco::UInt64>("revision", 0);
      return true;
    }
    if (reply && reply->status == 409)
      return false;
    std::this_thread::sleep_for(Millis(50));
  }
  return false;
}

// Returns the milliseconds from `start` until the leader reports `revision` in
// force, or -1 on a timeout.
double WaitInForce(const SiteTargets& site,
                   std::uint64_t revision,
                   Clock::time_point start) {
  std::string leader = LeaderUrl(site);
  while (MillisSince(start) < static_cast<double>(kInForceTimeout.count())) {
    const Json::Ptr status = leader.empty()
                                 ? nullptr
                                 : OperatorGet(site, leader,
                                               "/v1/config/force?revision=" +
                                                   std::to_string(revision));
    if (!status.isNull() && status->optValue<bool>("in_force", false))
      return MillisSince(start);
    if (status.isNull())
      leader = LeaderUrl(site);
    std::this_thread::sleep_for(kProbeInterval);
  }
  return -1;
}

struct TrafficSample {
  std::uint64_t bytes = 0;
  Clock::time_point at;
};

std::vector<TrafficSample> SampleTraffic(const SiteTargets& site) {
  std::vector<TrafficSample> samples;
  for (const std::string& url : site.operators) {
    TrafficSample sample;
    const Json::Ptr status = OperatorGet(site, url, "/v1/status");
    if (!status.isNull()) {
      sample.bytes = status->optValue<Poco::UInt64>("control_sent_bytes", 0);
    }
    sample.at = Clock::now();
    samples.push_back(sample);
  }
  return samples;
}

// Results of the calls experiment, shared by its threads.
struct CallRecords {
  std::mutex mutex;
  std::map<std::string, std::string> answers;  // by idempotency key
  std::map<std::string, std::uint64_t> outcomes;
  std::uint64_t mismatches = 0;  // answers that differ from their key's first
  LatencyHistogram latency;
};

void SendCall(const SiteTargets& site,
              std::mt19937_64& random,
              CallRecords& records) {
  const std::string key =
      "key-" + std::to_string(site.seed) + "-" +
      std::to_string(random() % static_cast<std::uint64_t>(
                                    std::max(1.0, site.rate * site.seconds)));
  http::CallRequest request;
  request.method = "POST";
  request.url =
      site.hosts[random() % site.hosts.size()] + "/services/orders/order";
  request.body = "body of " + key;
  request.headers = {{"Authorization", "Bearer " + site.keys.front()},
                     {"Idempotency-Key", key}};
  const auto start = Clock::now();
  const auto reply = http::Call(request);
  const double took = MillisSince(start);
  std::scoped_lock lock(records.mutex);
  if (!reply) {
    ++records.outcomes["no answer"];
    return;
  }
  const auto run = reply->headers.find("Endivecart-Run");
  ++records.outcomes[std::to_string(reply->status) + " " +
                     (run == reply->headers.end() ? "" : run->second)];
  if (reply->status != 200)
    return;
  if (!reply->headers.contains("Idempotent-Replayed"))
    records.latency.Record(took);
  const auto [it, added] = records.answers.emplace(key, reply->body);
  records.mismatches += !added && it->second != reply->body ? 1 : 0;
}

}  // namespace

int RunChanges(const SiteTargets& site) {
  std::mt19937_64 random(site.seed);
  LatencyHistogram accepted;
  LatencyHistogram in_force;
  std::ofstream accepted_ids(site.output);
  int failed = 0;
  const auto before = SampleTraffic(site);
  const auto start = Clock::now();
  for (int i = 0; MillisSince(start) < site.seconds * 1000; ++i) {
    const std::string id =
        "bench-" + std::to_string(site.seed) + "-" + std::to_string(i);
    const std::string patch = "{\"upstreams\":{\"bench\":{\"leaving\":" +
                              std::string(i % 2 == 0 ? "true" : "false") +
                              "}}}";
    std::uint64_t revision = 0;
    const auto sent = Clock::now();
    if (!SendChange(site, id, patch, random, revision)) {
      ++failed;
      continue;
    }
    accepted.Record(MillisSince(sent));
    accepted_ids << id << "\n";
    const double in_force_ms = WaitInForce(site, revision, sent);
    if (in_force_ms < 0) {
      ++failed;
    } else {
      in_force.Record(in_force_ms);
    }
    std::this_thread::sleep_for(
        Millis(static_cast<int>(1000 / std::max(site.rate, 0.1))));
  }
  std::printf(
      "changes: %lu accepted, %d failed; accepted p50 %.1f ms p99 %.1f "
      "ms; in force p50 %.1f ms p99 %.1f ms\n",
      accepted.Count(), failed, accepted.Quantile(0.5), accepted.Quantile(0.99),
      in_force.Quantile(0.5), in_force.Quantile(0.99));
  const auto after = SampleTraffic(site);
  for (std::size_t i = 0; i < after.size(); ++i) {
    const double seconds =
        std::chrono::duration<double>(after[i].at - before[i].at).count();
    std::printf(
        "  host %zu sent %.0f control bytes per second\n", i + 1,
        static_cast<double>(after[i].bytes - before[i].bytes) / seconds);
  }
  return failed == 0 ? 0 : 1;
}

int RunCalls(const SiteTargets& site) {
  CallRecords records;
  constexpr int kThreads = 8;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  const auto end =
      Clock::now() +
      std::chrono::microseconds(static_cast<std::int64_t>(site.seconds * 1e6));
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      std::mt19937_64 random(site.seed * 100 + static_cast<std::uint64_t>(t));
      while (Clock::now() < end) {
        SendCall(site, random, records);
        std::this_thread::sleep_for(Millis(
            static_cast<int>(1000 * kThreads / std::max(site.rate, 0.1))));
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  std::printf(
      "calls: first executions p50 %.1f ms p99 %.1f ms; keys answered %zu; "
      "mismatched answers %lu\n",
      records.latency.Quantile(0.5), records.latency.Quantile(0.99),
      records.answers.size(), records.mismatches);
  for (const auto& [name, count] : records.outcomes)
    std::printf("  %s: %lu\n", name.c_str(), count);
  return records.mismatches == 0 ? 0 : 1;
}

}  // namespace bench
