// EXPOSURE: a rollout of a bad version while few requests come. It is
// completed, since too few of its answers were seen.

#include "../site-3.hpp"

using namespace review;

namespace {

constexpr double kPerS = 8;
constexpr double kDurationMs = 12000;
constexpr double kRollbackMs = 5000;
// Each fifth answer of the bad version is a failure.
constexpr std::size_t kBadEvery = 5;
constexpr std::size_t kBadAnswers = 50;
// The test ends at the latest so long after the order.
constexpr double kLongestMs = 80000;

std::string StateOf(Site& site) {
  std::string body;
  site.Order("GET", "/Rollouts.Read/order-desk", "", 3000, &body);
  for (const char* state : {"running", "completed", "rolled_back"}) {
    if (body.find(std::string("\"") + state + "\"") != std::string::npos)
      return state;
  }
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  const bool trouble = WithTrouble();
  Site site(record);
  if (!site.usable())
    return kCouldNotRun;
  site.Start();

  std::mutex mutex;
  struct Run {
    double at_ms;
    bool bad;
    std::string target;
  };
  std::vector<Run> of_v2;
  std::atomic<std::size_t> bad_answers{0};
  std::atomic<double> fiftieth{1e12};
  std::vector<std::unique_ptr<Server>> servers;
  const auto add = [&](const std::string& version, int at) {
    Server::Options options;
    options.id = "i-" + version + "-" + Site::Zone(at);
    options.service = "order-desk";
    options.ip = site.ServerIp(at);
    options.zone = Site::Zone(at);
    options.version = version;
    options.work = [&, version](const std::string& target) {
      std::scoped_lock lock(mutex);
      const bool bad = version == "v2" && trouble &&
                       of_v2.size() % kBadEvery == kBadEvery - 1;
      if (version == "v2")
        of_v2.push_back({NowMs(), bad, target});
      if (bad && ++bad_answers == kBadAnswers)
        fiftieth = NowMs();
      return Work{30, bad ? 500 : 200};
    };
    servers.push_back(
        std::make_unique<Server>(options, site.core_ips(), record));
    return servers.back()->Start();
  };
  for (int i = 0; i < 3; ++i) {
    if (!add("v1", i))
      return kCouldNotRun;
  }
  const std::string manifest = Manifest(
      1, "order-desk", {Route("r-reserve", "/reserve/", "unsafe", 1500, 1)});
  if (site.Order("POST", "/Config.Replace", manifest).first != 200 ||
      !site.WaitReady(10000))
    return kCouldNotRun;
  SleepMs(4000);

  Clients clients(site, "shop.example", record);
  std::atomic<bool> sending{true};
  std::thread traffic([&] {
    const double begin = NowMs();
    for (int i = 0; sending; ++i) {
      SleepUntil(begin + i * 1000.0 / kPerS);
      clients.Send("POST", "/reserve/" + std::to_string(i), 1500);
    }
  });
  SleepMs(8000);
  bool runs = site.Order("POST", "/Rollouts.Begin",
                         "{\"service\":\"order-desk\",\"target\":\"v2\","
                         "\"duration_s\":12}")
                  .first == 200;
  const double ordered = NowMs();
  for (int i = 3; i < 6; ++i)
    runs &= add("v2", i);
  std::string state = "running";
  while (NowMs() < ordered + kDurationMs + 1000 && state == "running") {
    SleepMs(200);
    state = StateOf(site);
  }
  record.Say("the rollout of v2 is " + state + " after " +
             std::to_string(static_cast<int>(NowMs() - ordered)) + " ms");
  {
    std::scoped_lock lock(mutex);
    record.Say("until then v2 ran " + std::to_string(of_v2.size()) +
               " requests, " + std::to_string(bad_answers) +
               " with a bad answer");
  }
  if (state == "completed") {
    // "At completed, the old servers stop immediately, without draining."
    for (int i = 0; i < 3; ++i)
      servers[static_cast<std::size_t>(i)]->Fall();
    const double end = trouble ? ordered + kLongestMs : NowMs() + 8000;
    while (NowMs() < end && NowMs() < fiftieth + kRollbackMs + 4000)
      SleepMs(100);
  } else if (state == "rolled_back") {
    SleepMs(4000);
    for (int i = 3; i < 6; ++i) {
      servers[static_cast<std::size_t>(i)]->SetState("draining");
      servers[static_cast<std::size_t>(i)]->AnnounceNow();
    }
    SleepMs(3000);
  }
  sending = false;
  traffic.join();
  clients.Join();
  for (auto& server : servers)
    server->Stop();
  if (!runs || state == "running")
    return kCouldNotRun;

  // Requests sent later than rollback_ms after the 50th bad answer.
  std::map<std::string, double> sent;
  for (const Outcome& outcome : clients.outcomes())
    sent[outcome.target] = outcome.sent_ms;
  std::size_t late = 0;
  for (const Run& run : of_v2)
    late +=
        sent.count(run.target) > 0 && sent[run.target] > fiftieth + kRollbackMs
            ? 1
            : 0;
  record.Say("bad answers of v2: " + std::to_string(bad_answers) + " of " +
             std::to_string(of_v2.size()) +
             "; requests that were sent later than rollback_ms after the "
             "50th, and reached it: " +
             std::to_string(late));
  record.Say(late > 0 ? "EXPOSURE is broken" : "EXPOSURE held");
  return late > 0 ? kBroken : kHeld;
}
