// DRAIN: a core machine acknowledges that a server leaves, and loses power
// right after it. Nobody else has heard of it.

#include "../site-3.hpp"

using namespace review;

namespace {

constexpr double kDrainTimeoutMs = 2000;
constexpr double kContactWindowMs = 3000;
// How long the core machine is without power.
constexpr double kPowerLossMs = 3200;
// "It continues serving for drain_timeout_ms after the ack and a little
// longer".
constexpr double kServesForMs = kContactWindowMs + 130;
constexpr int kClump = 24;

}  // namespace

int main(int argc, char** argv) {
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  const bool trouble = WithTrouble();
  Site site(record);
  if (!site.usable())
    return kCouldNotRun;
  site.Start();

  std::atomic<bool> leaving{false};
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 3; ++i) {
    Server::Options options;
    options.id = "i-" + Site::Zone(i);
    options.service = "order-desk";
    options.ip = site.ServerIp(i);
    options.zone = Site::Zone(i);
    options.work = [](const std::string&) { return Work{60, 200}; };
    if (i == 2) {
      options.fields = [&] {
        std::vector<std::pair<std::string, std::string>> fields;
        if (leaving)
          fields.emplace_back("Server-Leaving", "1");
        return fields;
      };
    }
    servers.push_back(
        std::make_unique<Server>(options, site.core_ips(), record));
  }
  for (auto& server : servers) {
    if (!server->Start())
      return kCouldNotRun;
  }
  const std::string manifest =
      Manifest(1, "order-desk",
               {Route("r-reserve", "/reserve/", "unsafe", 1500, 1),
                Route("r-lookup", "/lookup/", "safe", 1500, 2)});
  if (site.Order("POST", "/Config.Replace", manifest).first != 200 ||
      !site.WaitReady(10000))
    return kCouldNotRun;
  SleepMs(5000);

  Clients clients(site, "shop.example", record);
  int number = 0;
  const auto send = [&] {
    if (++number % 2 == 0) {
      clients.Send("POST", "/reserve/" + std::to_string(number), 1500);
    } else {
      clients.Send("GET", "/lookup/" + std::to_string(number), 1500);
    }
  };
  clients.SendEvenly(30, 4000, send);
  clients.Join();

  // A core machine that doesn't lead, found by what it answers to a read.
  int core = -1;
  for (int i = 0; i < 3; ++i) {
    const Answer answer =
        Call(site.core_ips()[static_cast<std::size_t>(i)], kControlPort, "GET",
             "/Config.Read", {}, "", 1000);
    if (answer.status == 307)
      core = i;
  }
  if (core < 0)
    return kCouldNotRun;

  // The server reports, and then that it leaves; it says so in all its answers
  // from now on.
  Server& server = *servers[2];
  server.AnnounceNow();
  server.StopAnnouncing();
  SleepMs(300);
  leaving = true;
  const int status =
      Call(site.core_ips()[static_cast<std::size_t>(core)], kControlPort,
           "POST", "/Instances.Deregister/" + server.id(),
           {{"Content-Type", "application/json"}},
           "{\"born\":" + std::to_string(server.born()) + "}", 1000)
          .status;
  if (trouble)
    site.core(core).Kill();
  const double acknowledged = NowMs();
  record.Line("Deregister of %s: %d from %s%s", server.id().c_str(), status,
              site.core(core).name().c_str(),
              trouble ? ", which loses power" : "");
  if (status != 200)
    return kCouldNotRun;

  // The core is stable, and all entry machines are in touch again, a contact
  // window later.
  SleepUntil(acknowledged + kContactWindowMs + 100);
  const double burst = NowMs();
  record.Line("a burst begins");
  std::thread exit([&] {
    SleepUntil(acknowledged + kServesForMs);
    record.Line("server %s exits", server.id().c_str());
    server.Fall();
  });
  for (int i = 0; i < kClump; ++i)
    send();
  exit.join();
  SleepUntil(acknowledged + kPowerLossMs);
  if (trouble)
    site.core(core).Start();
  clients.SendEvenly(30, 1000, send);
  clients.Join();
  for (auto& s : servers)
    s->Stop();

  const auto sent = clients.SentTimes();
  std::size_t late = 0;
  for (const Arrival& arrival : server.arrivals()) {
    const auto it = sent.find(arrival.attempt);
    late += it != sent.end() && arrival.outcome != "other_instance" &&
                    arrival.at_ms > acknowledged + kDrainTimeoutMs &&
                    arrival.at_ms < acknowledged + kPowerLossMs &&
                    it->second >= acknowledged + kContactWindowMs
                ? 1
                : 0;
  }
  std::size_t lost = 0;
  for (const Outcome& outcome : clients.outcomes()) {
    lost += outcome.target.starts_with("/reserve/") &&
                    (outcome.status == 502 || outcome.status == 0)
                ? 1
                : 0;
  }
  record.Say("statuses of the burst: " + clients.Statuses(burst, NowMs()));
  record.Say("unsafe requests that ended with 502 or a closed channel: " +
             std::to_string(lost));
  record.Say(
      "requests that reached the server later than drain_timeout_ms "
      "after the ack: " +
      std::to_string(late));
  record.Say(late > 0 ? "DRAIN is broken" : "DRAIN held");
  return late > 0 ? kBroken : kHeld;
}
