// Stand-ins for external systems: a model upstream, a cache store, a plain
// HTTP service and the platform that takes the calls of duties.

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "platform_standin.h"
#include "service_standin.h"
#include "store_standin.h"
#include "upstream_standin.h"

namespace {

using endivecart::settings::Endpoint;
using endivecart::settings::ParseEndpoint;

constexpr int kUsageError = 2;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("endivecart-standin",
                           "Stand-ins for upstreams, stores and services");
  options.add_options()("kind", "upstream, store, service or platform",
                        cxxopts::value<std::string>())(
      "listen", "ADDRESS:PORT", cxxopts::value<std::string>())(
      "id", "upstream's name",
      cxxopts::value<std::string>()->default_value("u1"))(
      "domain", "failure domain",
      cxxopts::value<std::string>()->default_value("a"))(
      "model", "model", cxxopts::value<std::string>()->default_value("quill"))(
      "versions", "loaded versions, comma-separated",
      cxxopts::value<std::string>()->default_value("v1"))(
      "capacity", "concurrent requests",
      cxxopts::value<int>()->default_value("8"))(
      "prefill-rate", "prompt tokens per second",
      cxxopts::value<int>()->default_value("16000"))(
      "token-ms", "milliseconds between tokens",
      cxxopts::value<int>()->default_value("2"))(
      "cache-pieces", "prefix cache size in pieces",
      cxxopts::value<int>()->default_value("64"))(
      "announce", "entry hosts' operator URLs, comma-separated",
      cxxopts::value<std::string>()->default_value(""))(
      "announce-token", "token for announcements",
      cxxopts::value<std::string>()->default_value(""))(
      "checks-fencing", "refuse orders and calls with an old fencing number")(
      "calls-per-second", "calls that the platform accepts",
      cxxopts::value<std::size_t>()->default_value("50"))(
      "link-rate", "store link, bytes per second",
      cxxopts::value<std::int64_t>()->default_value("52428800"))(
      "store-capacity", "store capacity in bytes",
      cxxopts::value<std::int64_t>()->default_value("1073741824"))(
      "journal", "service's journal file",
      cxxopts::value<std::string>()->default_value("journal.txt"))(
      "help", "print this help");
  options.parse_positional({"kind"});
  return options;
}

standins::UpstreamOptions ReadUpstream(const cxxopts::ParseResult& args,
                                       const Endpoint& listen) {
  standins::UpstreamOptions options;
  options.listen = listen;
  options.id = args["id"].as<std::string>();
  options.domain = args["domain"].as<std::string>();
  options.model = args["model"].as<std::string>();
  options.versions =
      endivecart::SplitAtCommas(args["versions"].as<std::string>());
  options.capacity = args["capacity"].as<int>();
  options.prefill_tokens_per_s = args["prefill-rate"].as<int>();
  options.token_ms = args["token-ms"].as<int>();
  options.cache_pieces =
      static_cast<std::size_t>(args["cache-pieces"].as<int>());
  options.announce_to =
      endivecart::SplitAtCommas(args["announce"].as<std::string>());
  options.announce_token = args["announce-token"].as<std::string>();
  options.checks_fencing = args.count("checks-fencing") > 0;
  return options;
}

// Starts the stand-in and runs it until SIGTERM or SIGINT.
template <class Standin>
int Serve(Standin& standin) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const std::string error = standin.Start();
  if (!error.empty()) {
    std::cerr << "endivecart-standin: " << error << '\n';
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(0);  // stand-ins have no state to flush
}

int ServePlatform(const cxxopts::ParseResult& args, const Endpoint& listen) {
  endivecart::net::EventLoop loop;
  standins::PlatformStandin standin(
      loop, {listen, args.count("checks-fencing") > 0,
             args["calls-per-second"].as<std::size_t>()});
  const std::string error = standin.Start();
  if (!error.empty()) {
    std::cerr << "endivecart-standin: " << error << '\n';
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

int Run(const cxxopts::ParseResult& args) {
  const auto listen = ParseEndpoint(args["listen"].as<std::string>());
  if (!listen) {
    std::cerr << "endivecart-standin: --listen: " << listen.error() << '\n';
    return kUsageError;
  }
  const auto kind = args["kind"].as<std::string>();
  if (kind == "upstream") {
    standins::UpstreamStandin standin(ReadUpstream(args, *listen));
    return Serve(standin);
  }
  if (kind == "store") {
    standins::StoreStandin standin({*listen,
                                    args["link-rate"].as<std::int64_t>(),
                                    args["store-capacity"].as<std::int64_t>()});
    return Serve(standin);
  }
  if (kind == "service") {
    standins::ServiceStandin standin(
        {*listen, args["journal"].as<std::string>()});
    return Serve(standin);
  }
  if (kind == "platform")
    return ServePlatform(args, *listen);
  std::cerr << "endivecart-standin: kind must be upstream, store, service or "
               "platform\n";
  return kUsageError;
}

}  // namespace

int main(int argc, char** argv) {
  endivecart::SetUpLogging({});
  auto options = MakeOptions();
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0 || args.count("kind") == 0 ||
        args.count("listen") == 0) {
      std::cout << options.help() << '\n';
      return args.count("help") > 0 ? 0 : kUsageError;
    }
    return Run(args);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << "endivecart-standin: " << e.what() << '\n';
    return kUsageError;
  }
}
