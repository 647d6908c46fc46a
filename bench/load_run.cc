#include "load_run.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include "endivecart/settings/settings.h"

namespace bench {

namespace {

constexpr std::size_t kMaxThreads = 600;

void Record(const Arrival& arrival,
            const CompletionResult& result,
            LoadStats& stats) {
  GroupStats& group = stats[arrival.group];
  ++group.sent;
  if (result.ok) {
    ++group.ok;
    group.first_token.Record(result.first_token_ms);
    group.gap.Record(result.max_gap_ms);
    group.prompt_tokens += result.prompt_tokens;
    group.cached_tokens += result.cached_tokens;
    ++group.versions[result.served_version];
    return;
  }
  ++group.errors[result.error];
  if (result.refused) {
    ++group.refused;
  } else {
    ++group.failed;
  }
}

void RunEvents(std::vector<RunEvent> events, Clock::time_point start) {
  std::sort(events.begin(), events.end(),
            [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
  for (const RunEvent& event : events) {
    std::this_thread::sleep_until(
        start + std::chrono::microseconds(
                    static_cast<std::int64_t>(event.at_ms * 1000)));
    event.action();
  }
}

std::string ErrorText(const GroupStats& group) {
  std::string text;
  for (const auto& [error, count] : group.errors)
    text += " " + error + "=" + std::to_string(count);
  return text;
}

}  // namespace

double GroupStats::RecomputedPercent() const {
  return prompt_tokens == 0
             ? 0
             : 100.0 * static_cast<double>(prompt_tokens - cached_tokens) /
                   static_cast<double>(prompt_tokens);
}

LoadStats RunOpenLoop(std::vector<Arrival> arrivals,
                      std::vector<RunEvent> events) {
  std::sort(arrivals.begin(), arrivals.end(),
            [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
  LoadStats stats;
  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  endivecart::http::ClientPool pool;
  const auto start = Clock::now() + endivecart::Millis(50);
  const auto run_worker = [&] {
    while (true) {
      const std::size_t index = next++;
      if (index >= arrivals.size())
        return;
      const Arrival& arrival = arrivals[index];
      const auto intended =
          start + std::chrono::microseconds(
                      static_cast<std::int64_t>(arrival.at_ms * 1000));
      std::this_thread::sleep_until(intended);
      const CompletionResult result =
          CallCompletion(arrival.call, pool, intended);
      std::scoped_lock lock(mutex);
      Record(arrival, result, stats);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(kMaxThreads, arrivals.size()); ++i)
    threads.emplace_back(run_worker);
  std::thread event_thread([&] { RunEvents(std::move(events), start); });
  for (std::thread& thread : threads)
    thread.join();
  event_thread.join();
  return stats;
}

void PrintStats(const std::string& title, const LoadStats& stats, bool json) {
  if (!json) {
    std::printf("%-22s %7s %7s %7s %6s %9s %9s %9s %9s %10s\n", title.c_str(),
                "sent", "ok", "refused", "failed", "ttft p50", "ttft p95",
                "ttft p99", "gap p95", "recomputed");
  }
  for (const auto& [name, group] : stats) {
    const char* format =
        json
            ? "{\"run\":\"%s\",\"group\":\"%s\",\"sent\":%lu,\"ok\":%lu,"
              "\"refused\":%lu,\"failed\":%lu,\"ttft_p50_ms\":%.1f,"
              "\"ttft_p95_ms\":%.1f,\"ttft_p99_ms\":%.1f,\"gap_p95_ms\":%.1f,"
              "\"recomputed_percent\":%.1f}\n"
            : "%.0s%-22s %7lu %7lu %7lu %6lu %9.1f %9.1f %9.1f %9.1f %9.1f%%\n";
    std::printf(format, title.c_str(), name.c_str(), group.sent, group.ok,
                group.refused, group.failed, group.first_token.Quantile(0.5),
                group.first_token.Quantile(0.95),
                group.first_token.Quantile(0.99), group.gap.Quantile(0.95),
                group.RecomputedPercent());
    if (!json && !group.errors.empty())
      std::printf("  errors:%s\n", ErrorText(group).c_str());
  }
  std::fflush(stdout);
}

std::vector<double> PoissonTimes(double per_second,
                                 double seconds,
                                 std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(per_second);
  std::vector<double> times;
  for (double at = gap(random); at < seconds; at += gap(random))
    times.push_back(at * 1000);
  return times;
}

std::vector<std::string> MakePrompts(const std::string& folder,
                                     std::size_t count,
                                     std::size_t bytes,
                                     const std::string& salt) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.path().extension() == ".md")
      files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  std::string text;
  for (const auto& file : files)
    text += endivecart::settings::ReadTextFile(file).value_or("");
  std::vector<std::string> prompts;
  if (text.empty())
    return prompts;
  for (std::size_t i = 0; i < count; ++i) {
    std::string prompt = salt + " " + std::to_string(i) + "\n";
    std::size_t at = (i * bytes / 2) % text.size();
    while (prompt.size() < bytes) {
      prompt += text.substr(at, bytes - prompt.size());
      at = 0;
    }
    prompts.push_back(std::move(prompt));
  }
  return prompts;
}

}  // namespace bench
