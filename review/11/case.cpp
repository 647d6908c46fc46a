// BUDGET: a part of long prompts crashes the servers that begin to answer it.

#include "../site-3.hpp"

using namespace review;

namespace {

constexpr double kContactWindowMs = 3000;
constexpr double kDownMs = 2000;
constexpr int kServers = 6;
// Parts of a prompt: one for each turn of a long conversation. Its header has
// a tenth of max_header_bytes.
constexpr int kParts = 80;
constexpr std::size_t kAllowed = 3;

std::string PartId(unsigned number) {
  char text[16];
  std::snprintf(text, sizeof text, "%08x", number);
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  const bool trouble = WithTrouble();
  // For comparison only: a part near the beginning of the prompt.
  const char* const mode = std::getenv("TROUBLE");
  const bool is_early = mode != nullptr && std::string(mode) == "early";
  const int deadly_at = is_early ? 5 : 70;
  Site site(record);
  if (!site.usable())
    return kCouldNotRun;
  site.Start();

  const std::string deadly = PartId(0xdeadbeef);
  std::mutex mutex;
  std::vector<double> crashes;
  std::vector<double> arrivals;  // of requests with the part
  std::vector<double> down_until(kServers, 0);
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    Server::Options options;
    options.id = "i-" + std::to_string(i);
    options.service = "model-hall";
    options.ip = site.ServerIp(i);
    options.zone = Site::Zone(i);
    options.slots = 64;
    options.streams = true;
    options.work = [](const std::string&) { return Work{60, 200}; };
    options.on_begin = [&, i](const Head& head) {
      if (!trouble ||
          head.Get("X-Prompt-Prefix").find(deadly) == std::string::npos)
        return;
      std::scoped_lock lock(mutex);
      arrivals.push_back(NowMs());
      if (down_until[static_cast<std::size_t>(i)] > 0)
        return;
      crashes.push_back(NowMs());
      down_until[static_cast<std::size_t>(i)] = NowMs() + kDownMs;
      record.Line("server %d crashes on %s", i,
                  head.Get("X-Attempt-Id").c_str());
      servers[static_cast<std::size_t>(i)]->Fall();
    };
    servers.push_back(
        std::make_unique<Server>(options, site.core_ips(), record));
  }
  for (auto& server : servers) {
    if (!server->Start())
      return kCouldNotRun;
  }
  const std::string manifest = Manifest(
      1, "model-hall", {Route("r-draft", "/draft/", "streaming", 3000, 1)});
  if (site.Order("POST", "/Config.Replace", manifest).first != 200 ||
      !site.WaitReady(10000))
    return kCouldNotRun;
  SleepMs(5000);
  std::atomic<bool> done{false};
  std::thread returns([&] {
    int incarnation = 0;
    while (!done) {
      SleepMs(10);
      for (std::size_t i = 0; i < servers.size(); ++i) {
        std::unique_lock lock(mutex);
        if (down_until[i] == 0 || down_until[i] > NowMs())
          continue;
        down_until[i] = 0;
        lock.unlock();
        servers[i]->Return("i-" + std::to_string(i) + "-" +
                           std::to_string(++incarnation));
      }
    }
  });

  Clients clients(site, "shop.example", record);
  unsigned number = 0;
  // A conversation: parts that its requests share, and one of its own.
  const auto send = [&](unsigned conversation, bool with_deadly) {
    std::string prefix;
    for (int i = 0; i + 1 < kParts; ++i) {
      const bool is_deadly = with_deadly && i == deadly_at;
      prefix +=
          (is_deadly ? deadly
                     : PartId(conversation * 1000 + static_cast<unsigned>(i))) +
          ":40,";
    }
    prefix += PartId(0x10000000 + ++number) + ":40";
    clients.Send(
        "POST", (with_deadly ? "/draft/x" : "/draft/") + std::to_string(number),
        3000, -1,
        {{"X-Model", "m0"},
         {"X-Token-Count", std::to_string(kParts * 40) + ",20"},
         {"X-Prompt-Prefix", prefix}});
  };
  // Sound requests of ten conversations, and one with the part every 0.7 s,
  // which shares all its other parts with sound ones.
  const double begin = NowMs();
  unsigned next_deadly = 0;
  for (int i = 0; i < 30 * 35; ++i) {
    SleepUntil(begin + i * 1000.0 / 30);
    send(1 + static_cast<unsigned>(i) % 10, false);
    if (i % 21 == 20 && i > 60)
      send(1 + next_deadly++ % 10, true);
  }
  clients.Join();
  done = true;
  returns.join();
  for (auto& server : servers)
    server->Stop();

  std::size_t sound_failed = 0;
  for (const Outcome& outcome : clients.outcomes())
    sound_failed +=
        outcome.status != 200 && !outcome.target.starts_with("/draft/x") ? 1
                                                                         : 0;
  const double fifth = crashes.size() >= 5 ? crashes[4] : 1e12;
  const auto late = static_cast<std::size_t>(std::count_if(
      arrivals.begin(), arrivals.end(),
      [&](double at) { return at > fifth + kContactWindowMs + 100; }));
  record.Say("statuses: " + clients.Statuses(0, NowMs()));
  record.Say("sound requests that weren't answered with success: " +
             std::to_string(sound_failed));
  record.Say("crashes " + std::to_string(crashes.size()) +
             "; requests with the part that reached servers later than "
             "contact_window_ms after the fifth: " +
             std::to_string(late) + ", allowed " + std::to_string(kAllowed));
  record.Say(late > kAllowed ? "BUDGET is broken" : "BUDGET held");
  return late > kAllowed ? kBroken : kHeld;
}
