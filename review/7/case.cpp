// A tenant becomes isolated; prompts of others go on to use the KV cache that
// its requests made before. See claim.txt.
#include "../site-2.hpp"

#include <set>

using namespace site;

namespace {

constexpr long kContactWindowMs = 3000;
constexpr long kConfigApplyMs = 2000;
constexpr int kPrompts = 20;
constexpr char kModel[] = "daka510000";

// A model server: keeps the parts of prompts under each X-Cache-Salt, with the
// tenant whose request made them.
class Engine {
 public:
  void Answer(Server& server,
              Channel& channel,
              const Message& request,
              Run& run) {
    const std::string tenant = request.Field("X-Tenant");
    const std::string salt = request.Field("X-Cache-Salt");
    std::vector<std::string> ids;
    const std::string prefix = request.Field("X-Prompt-Prefix");
    for (std::size_t at = 0; at < prefix.size();) {
      const std::size_t end = std::min(prefix.find(',', at), prefix.size());
      ids.push_back(prefix.substr(at, prefix.find(':', at) - at));
      at = end + 1;
    }
    {
      const std::scoped_lock lock(mutex_);
      auto& parts = kept_[salt];
      bool is_hit = true;
      for (const std::string& id : ids) {
        const auto it = parts.find(id);
        is_hit = is_hit && it != parts.end();
        if (!is_hit) {
          parts[id] = tenant;
          continue;
        }
        record.Line(
            "run %s of %s at %s uses part %s that a request of %s made "
            "(salt %s)",
            run.attempt.c_str(), tenant.c_str(), server.spec().id.c_str(),
            id.c_str(), it->second.c_str(), salt.c_str());
        if (it->second != tenant)
          uses_.push_back({NowMs(), tenant, it->second});
      }
    }
    SleepMs(40);
    channel.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + run.attempt +
                  "\r\nX-Server-Signature: sig." + run.attempt +
                  "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream"
                  "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= 3; ++i) {
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx", event.size());
      channel.Write(std::string(size) + "\r\n" + event + "\r\n");
      SleepMs(5);
    }
    run.answered = channel.Write("0\r\n\r\n");
  }
  struct Use {
    long at_ms;
    std::string by;
    std::string made_by;
  };
  std::vector<Use> Uses() {
    const std::scoped_lock lock(mutex_);
    return uses_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::map<std::string, std::string>> kept_;
  std::vector<Use> uses_;
};

std::string ManifestOf(int version, bool is_isolated) {
  std::string text =
      "{\"version\":" + std::to_string(version) +
      ",\"routes\":[{\"name\":\"quote-draft\",\"host\":\"pule25.example\","
      "\"path_prefix\":\"/quote/\",\"type\":\"streaming\",\"timeout_ms\":12000,"
      "\"target_latency_ms\":1200,\"priority\":1,\"service\":\"model-hall\","
      "\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":false,"
      "\"gap_target_ms\":800}],\"services\":[{\"name\":\"model-hall\","
      "\"health_path\":\"/"
      "healthz\",\"max_connections\":360,\"protocol\":\"h1\","
      "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{"
      "\"slots\":64,\"kv_capacity_tokens\":93514,\"kv_bytes\":18432,"
      "\"link_mbps\":740000.0,\"max_concurrency\":12,\"models\":[{\"name\":\"" +
      std::string(kModel) +
      "\"}]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
      "4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"key-of-bozi\"],"
      "\"isolated\":" +
      (is_isolated ? "true" : "false") +
      "},{\"name\":\"luma41\",\"api_keys\":[\"key-of-luma\"],\"isolated\":"
      "false}"
      "]}";
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = argc > 1 && std::string(argv[1]) != "0";
  record.Open(argc > 2 ? argv[2] : "record.txt");
  LimitTime(115);
  Site site;
  site.StartAll();
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 2; ++i) {
    Server::Spec spec;
    spec.id = "i-hall" + std::to_string(i);
    spec.service = "model-hall";
    spec.address = site.ServerAddress(i);
    spec.zone = Site::ZoneOf(i);
    spec.slots = 64;
    spec.report_extra = ",\"stage\":\"both\",\"models\":[{\"name\":\"" +
                        std::string(kModel) +
                        "\",\"version\":1,\"adapters\":[]}]";
    engines.push_back(std::make_unique<Engine>());
    servers.push_back(std::make_unique<Server>(site, spec));
    servers.back()->on_request = [engine = engines.back().get()](
                                     Server& server, Channel& channel,
                                     const Message& request, Run& run) {
      engine->Answer(server, channel, request, run);
    };
    if (!servers.back()->Start())
      return 2;
  }
  const auto put =
      site.Operator("POST", "/Config.Replace", ManifestOf(7, false));
  if (!put || put->Status() != 200 || !site.WaitReady(15000)) {
    record.Line("the site did not start: %d", put ? put->Status() : 0);
    return 2;
  }
  SleepMs(kContactWindowMs + 1000);

  int served = 0;
  const auto send_prompts = [&](const std::string& key, const char* own) {
    for (int i = 0; i < kPrompts; ++i) {
      char prefix[96];
      std::snprintf(prefix, sizeof prefix, "5c1e%04x:800,%s%04x:250", i, own,
                    i);
      const Attempt attempt =
          Send(site, i % site.entries(), "POST", "/quote/" + std::to_string(i),
               {{"Authorization", "Bearer " + key},
                {"X-Model", kModel},
                {"X-Token-Count", "1050,3"},
                {"X-Prompt-Prefix", prefix}},
               "draft", 12000);
      served += attempt.status == 200 ? 1 : 0;
    }
  };
  send_prompts("key-of-bozi", "aaaa");

  if (trouble) {
    const auto changed =
        site.Operator("POST", "/Config.Replace", ManifestOf(9, true));
    record.Line("manifest 9, in which bozi300 is isolated: %d",
                changed ? changed->Status() : 0);
    if (!changed || changed->Status() != 200)
      return 2;
  }
  const long acked = NowMs();
  SleepMs(kConfigApplyMs + kContactWindowMs + 1000);
  send_prompts("key-of-luma", "bbbb");

  int uses = 0;
  for (const auto& engine : engines) {
    for (const Engine::Use& use : engine->Uses())
      uses += use.at_ms > acked + kConfigApplyMs ? 1 : 0;
  }
  record.Line(
      "prompts served %d of %d; parts made by the one tenant and used "
      "by the other later than config_apply_ms after the ack: %d",
      served, 2 * kPrompts, uses);
  if (served < kPrompts)
    return 2;
  const bool is_isolated = trouble;
  const bool broken = is_isolated && uses > 0;
  record.Line(broken ? "WALL broken" : "WALL held");
  return broken ? 1 : 0;
}
