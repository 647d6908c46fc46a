// A server that is cut off from the core leaves, and says so in its answers.
// See claim.txt.
#include "../site-2.hpp"

using namespace site;

namespace {

constexpr long kContactWindowMs = 3000;
constexpr long kDrainTimeoutMs = 2000;
// "If it receives no ack, it exits anyway, some seconds later."
constexpr long kExitMs = 4800;
constexpr int kServers = 5;  // one of them is a share of 0.2
constexpr long kWorkMs = 600;

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = argc > 1 && std::string(argv[1]) != "0";
  record.Open(argc > 2 ? argv[2] : "record.txt");
  LimitTime(115);
  Site site;
  site.StartAll();
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    Server::Spec spec;
    spec.id = "i-desk" + std::to_string(i);
    spec.service = "order-desk";
    spec.address = site.ServerAddress(i);
    spec.zone = Site::ZoneOf(i);
    spec.work_ms = kWorkMs;
    servers.push_back(std::make_unique<Server>(site, spec));
    if (!servers.back()->Start())
      return 2;
  }
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

  // Orders come all the while, at both entries in turn.
  std::mutex mutex;
  std::map<std::string, Attempt> attempts;
  std::atomic<bool> stop{false};
  std::thread client([&] {
    std::vector<std::thread> sends;
    for (int i = 0; !stop; ++i) {
      sends.emplace_back([&, i] {
        const Attempt attempt =
            Send(site, i % site.entries(), "POST",
                 "/order/" + std::to_string(i), {}, "x", 1500);
        const std::scoped_lock lock(mutex);
        attempts[attempt.id] = attempt;
      });
      SleepMs(40);
    }
    for (std::thread& send : sends)
      send.join();
  });
  SleepMs(4000);

  Server& leaver = *servers.front();
  if (trouble) {
    record.Line("%s is cut off from the core", leaver.spec().id.c_str());
    leaver.reports = false;
  }
  leaver.draining = true;
  leaver.leaving = true;
  record.Line("%s leaves", leaver.spec().id.c_str());
  if (!trouble)
    leaver.ReportNow();
  SleepMs(kExitMs);
  leaver.Exit();
  SleepMs(2500);
  stop = true;
  client.join();

  // For each entry, when it first passed on an answer with Server-Leaving.
  std::map<int, long> told;
  const std::vector<Run> runs = leaver.Runs();
  for (const auto& [id, attempt] : attempts) {
    if (!attempt.is_leaving)
      continue;
    const auto at = told.try_emplace(attempt.entry, attempt.ended_ms).first;
    at->second = std::min(at->second, attempt.ended_ms);
  }
  int late = 0;
  int lost = 0;
  for (const Run& run : runs) {
    const auto it = attempts.find(run.attempt);
    if (it == attempts.end())
      continue;
    const Attempt& attempt = it->second;
    const auto at = told.find(attempt.entry);
    if (at == told.end() || attempt.sent_ms <= at->second + kDrainTimeoutMs)
      continue;
    ++late;
    lost += attempt.status == 200 ? 0 : 1;
  }
  for (const auto& [entry, at] : told)
    record.Line("entry %d passed on Server-Leaving first at %ld", entry, at);
  record.Line(
      "orders %zu; sent later than drain_timeout_ms after that, and run "
      "at the leaving server: %d, of them without their answer: %d",
      attempts.size(), late, lost);
  const bool broken = late > 0;
  record.Line(broken ? "DRAIN broken" : "DRAIN held");
  return broken ? 1 : 0;
}
