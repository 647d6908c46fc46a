// Status reports of another writer, whose id has bytes that can't be read. See
// claim.txt.
#include "../site-2.hpp"

using namespace site;

namespace {

// The bounds of the pages' sheets.
constexpr long kContactWindowMs = 3000;
constexpr long kConfigApplyMs = 2000;
constexpr std::size_t kMinRequests = 20;

// Sends a report with an id in ISO 8859-1 to each control node in turn, as
// often as a server reports.
void SendOddReports(Site& site, const std::atomic<bool>& stop) {
  const std::string id =
      "i-k\xfc"
      "che";
  const long born = UnixMs();
  for (int i = 0; !stop; ++i) {
    const auto answer = Call(
        site.Control(i % site.controls()), "POST", "/Instances.Heartbeat/" + id,
        {{"Content-Type", "application/json"}},
        "{\"service\":\"order-desk\",\"address\":\"" +
            site.ServerAddress(60).Text() +
            "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":"
            "\"ready\",\"cold_remaining_ms\":0,\"born\":" +
            std::to_string(born) + ",\"sequence\":" + std::to_string(i + 1) +
            "}");
    record.Line("odd report to control %d: %d", i % site.controls(),
                answer ? answer->Status() : 0);
    for (int j = 0; j < 12 && !stop; ++j)
      SleepMs(100);
  }
}

struct Tally {
  std::size_t sent = 0;
  std::size_t served = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = argc > 1 && std::string(argv[1]) != "0";
  record.Open(argc > 2 ? argv[2] : "record.txt");
  LimitTime(115);
  Site site;
  site.StartAll();
  std::vector<std::unique_ptr<Server>> servers;
  const auto start_server = [&](const std::string& id,
                                const std::string& service, int at) {
    Server::Spec spec;
    spec.id = id;
    spec.service = service;
    spec.address = site.ServerAddress(at);
    spec.zone = Site::ZoneOf(at);
    servers.push_back(std::make_unique<Server>(site, spec));
    return servers.back()->Start();
  };
  for (int i = 0; i < 3; ++i) {
    if (!start_server("i-desk" + std::to_string(i), "order-desk", i))
      return 2;
  }
  const RouteSpec first{"stock-lookup", "/lookup/", "safe", 1500,
                        "order-desk",   2,          ""};
  const RouteSpec later{"stock-count", "/count/", "safe", 1500,
                        "count-desk",  2,         ""};
  const auto put = site.Operator("POST", "/Config.Replace",
                                 Manifest(7, {first}, {"order-desk"}));
  if (!put || put->Status() != 200 || !site.WaitReady(15000)) {
    record.Line("the site did not start");
    return 2;
  }
  SleepMs(kContactWindowMs + 1000);
  if (Send(site, 0, "GET", "/lookup/0", {}, "", 1500).status != 200 ||
      Send(site, 1, "GET", "/lookup/1", {}, "", 1500).status != 200) {
    record.Line("the site does not serve");
    return 2;
  }

  std::atomic<bool> stop{false};
  std::thread odd([&] {
    if (trouble)
      SendOddReports(site, stop);
  });
  SleepMs(6000);

  // Planned: a service is added, and a route to it.
  for (int i = 0; i < 3; ++i) {
    if (!start_server("i-count" + std::to_string(i), "count-desk", 20 + i))
      return 2;
  }
  SleepMs(3000);
  const auto added =
      site.Operator("POST", "/Config.Replace",
                    Manifest(9, {first, later}, {"count-desk", "order-desk"}));
  record.Line("manifest 9: %d", added ? added->Status() : 0);
  if (!added || added->Status() != 200)
    return 2;
  SleepMs(kConfigApplyMs + kContactWindowMs + 1000);

  Tally on_first;
  Tally on_later;
  for (int i = 0; i < 120; ++i) {
    const bool is_later = i % 2 == 1;
    const Attempt attempt = Send(
        site, i / 2 % site.entries(), "GET",
        (is_later ? "/count/" : "/lookup/") + std::to_string(i), {}, "", 1500);
    Tally& tally = is_later ? on_later : on_first;
    ++tally.sent;
    tally.served += attempt.status == 200 ? 1 : 0;
    SleepMs(50);
  }
  const double first_share =
      static_cast<double>(on_first.served) / static_cast<double>(on_first.sent);
  const double later_share =
      static_cast<double>(on_later.served) / static_cast<double>(on_later.sent);
  const bool broken =
      on_later.sent >= kMinRequests && later_share < first_share / 4;

  // Planned: an entry machine is stopped and started again.
  Process& restarted = site.EntryProcess(0);
  site.Signal(restarted, SIGTERM);
  const long deadline = NowMs() + 9000;
  while (!site.Ended(restarted) && NowMs() < deadline)
    SleepMs(50);
  site.WriteSettings(restarted, false);
  site.Start(restarted);
  const long started = NowMs();
  bool ready = false;
  while (!ready && NowMs() < started + 15000) {
    SleepMs(200);
    ready = site.IsReady(0);
  }
  stop = true;
  odd.join();

  record.Line(
      "first route: served %zu of %zu; route added later: served %zu of "
      "%zu",
      on_first.served, on_first.sent, on_later.served, on_later.sent);
  record.Line("entry 0 after its planned restart: %s",
              ready ? "ready" : "not ready for 15 s");
  record.Line(broken ? "CONFIG broken" : "CONFIG held");
  return broken ? 1 : 0;
}
