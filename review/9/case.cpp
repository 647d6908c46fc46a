// A second roll-out is ordered after a bad version was rolled back, while the
// servers of that version haven't left yet. See claim.txt.
#include "../site-2.hpp"

using namespace site;

namespace {

constexpr long kContactWindowMs = 3000;
constexpr int kDurationS = 12;
constexpr double kExposureShare = 0.1;
constexpr int kExposureSlack = 50;
constexpr long kRollbackMs = 5000;
constexpr int kBadAnswers = 50;
// "At `rolled_back`, the new servers drain some seconds later."
constexpr long kDrainAfterMs = 6000;
// A portion of the bad version's responses are failures.
constexpr int kBadOneIn = 3;
constexpr int kClients = 24;

struct Arrival {
  long at_ms;
  std::string version;
  bool is_bad;
};

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = argc > 1 && std::string(argv[1]) != "0";
  record.Open(argc > 2 ? argv[2] : "record.txt");
  LimitTime(115);
  Site site;
  site.StartAll();
  std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::atomic<unsigned> runs_of_bad{0};
  std::vector<std::unique_ptr<Server>> servers;
  const auto start_servers = [&](const std::string& version, int first) {
    for (int i = 0; i < 3; ++i) {
      Server::Spec spec;
      spec.id = "i-desk-" + version + "-" + std::to_string(i);
      spec.service = "order-desk";
      spec.address = site.ServerAddress(first + i);
      spec.zone = Site::ZoneOf(i);
      spec.version = version;
      servers.push_back(std::make_unique<Server>(site, spec));
      servers.back()->on_request = [&](Server& server, Channel& channel,
                                       const Message& request, Run& run) {
        const std::string& own = server.spec().version;
        const bool is_bad = own == "v2" && ++runs_of_bad % kBadOneIn == 0;
        {
          const std::scoped_lock lock(mutex);
          arrivals.push_back({run.at_ms, own, is_bad});
        }
        SleepMs(30);
        run.answered = channel.Write(Server::AnswerText(
            request, is_bad ? 500 : 200,
            "X-Server-Signature: sig." + run.attempt + "\r\n", "done"));
      };
      if (!servers.back()->Start())
        return false;
    }
    return true;
  };
  if (!start_servers("v1", 0))
    return 2;
  const auto put = site.Operator(
      "POST", "/Config.Replace",
      Manifest(
          7,
          {{"order-reserve", "/order/", "unsafe", 1500, "order-desk", 1, ""}},
          {"order-desk"}));
  if (!put || put->Status() != 200 || !site.WaitReady(15000)) {
    record.Line("the site did not start");
    return 2;
  }
  SleepMs(kContactWindowMs + 1000);

  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  std::atomic<int> number{0};
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      while (!stop) {
        const int n = ++number;
        Send(site, n % site.entries(), "POST", "/order/" + std::to_string(n),
             {}, "x", 1500);
        SleepMs(60);
      }
    });
  }
  SleepMs(3000);

  const auto begin = [&](const std::string& version) {
    const auto answer = site.Operator(
        "POST", "/Rollouts.Begin",
        "{\"service\":\"order-desk\",\"target\":\"" + version +
            "\",\"duration_s\":" + std::to_string(kDurationS) + "}");
    record.Line("roll-out of %s ordered: %d", version.c_str(),
                answer ? answer->Status() : 0);
    return answer && answer->Status() == 200;
  };
  const auto state = [&] {
    const auto answer =
        site.Operator("GET", "/Rollouts.Read/order-desk", "", 3000);
    return answer ? answer->body : std::string();
  };
  const long ordered = NowMs();
  if (!begin("v2") || !start_servers("v2", 10))
    return 2;
  long rolled_back = -1;
  while (NowMs() < ordered + 1000L * kDurationS) {
    if (state().find("rolled_back") != std::string::npos) {
      rolled_back = NowMs();
      break;
    }
    SleepMs(100);
  }
  record.Line("v2 rolled back at %ld, %ld ms after the order", rolled_back,
              rolled_back - ordered);
  if (rolled_back < 0) {
    stop = true;
    for (std::thread& client : clients)
      client.join();
    return 2;
  }
  if (trouble) {
    // The mended version is ordered next.
    if (!begin("v3") || !start_servers("v3", 20))
      return 2;
  }
  while (NowMs() < rolled_back + kDrainAfterMs)
    SleepMs(20);
  for (const auto& server : servers) {
    if (server->spec().version == "v2") {
      server->draining = true;
      server->ReportNow();
    }
  }
  record.Line("the servers of v2 drain");
  while (NowMs() < ordered + 1000L * kDurationS + 2000)
    SleepMs(20);
  stop = true;
  for (std::thread& client : clients)
    client.join();

  int all = 0;
  int bad_version = 0;
  int bad_answers = 0;
  int late = 0;
  long fiftieth = -1;
  const std::scoped_lock lock(mutex);
  for (const Arrival& arrival : arrivals) {
    const bool is_within = arrival.at_ms >= ordered &&
                           arrival.at_ms <= ordered + 1000L * kDurationS;
    all += is_within ? 1 : 0;
    if (arrival.version != "v2")
      continue;
    bad_version += is_within ? 1 : 0;
    late += fiftieth >= 0 && arrival.at_ms > fiftieth + kRollbackMs ? 1 : 0;
    if (arrival.is_bad && ++bad_answers == kBadAnswers)
      fiftieth = arrival.at_ms;
  }
  const double limit = kExposureShare * all + kExposureSlack;
  record.Line(
      "of %d requests that reached the service until its time limit, "
      "%d reached v2; allowed are %.0f; bad answers %d; later than "
      "rollback_ms after the 50th: %d",
      all, bad_version, limit, bad_answers, late);
  const bool broken = bad_version > limit || late > 0;
  record.Line(broken ? "EXPOSURE broken" : "EXPOSURE held");
  return broken ? 1 : 0;
}
