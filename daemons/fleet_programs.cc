#include "fleet_programs.h"

#include <csignal>
#include <functional>
#include <iostream>
#include <memory>

#include "endivecart/node/node.h"
#include "platform.h"

namespace {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

constexpr int kFailure = 1;
constexpr int kUsageError = 2;
constexpr Millis kSettingsInterval{5000};
// Routes of a new configuration that an entry host parses before it serves
// callers again.
constexpr std::size_t kRoutesPerTurn = 32;

int Fail(const std::string& message, int code) {
  LogLine("node.start_failed").Add("reason", message).Error();
  std::cerr << "endivecartd: " << message << '\n';
  return code;
}

// Starts a node, installs its signal handlers and runs it until it stops.
template <class Node, class Hooks>
int RunNode(const std::string& settings_file, Hooks hooks) {
  // Until its handler is installed: by default the signal ends the process.
  // The settings are read after this, so that no change is missed.
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  auto settings = settings::LoadNodeSettings(settings_file);
  if (!settings)
    return Fail(settings::JoinErrors(settings.error()), kUsageError);
  SetUpLogging(settings->log);
  net::EventLoop loop;
  auto node = Node::Start(loop, *settings, std::move(hooks));
  if (!node)
    return Fail(node.error().detail, kFailure);
  const auto stop = [&node] { (*node)->Stop(); };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  settings::NodeSettings current = *settings;
  const auto reload = [&node, &settings_file, &current] {
    const auto changed = settings::LoadNodeSettings(settings_file);
    if (!changed) {
      LogLine("node.reload_refused")
          .Add("reason", settings::JoinErrors(changed.error()))
          .Error();
    } else if (!(*changed == current)) {
      current = *changed;
      (*node)->Reload(current);
    }
  };
  loop.OnSignal(SIGHUP, [&reload] {
    LogLine("node.reload_asked").Info();
    reload();
  });
  reload();  // a signal may have been ignored until now
  // The file may change without a signal, so it is polled too.
  const auto watch =
      loop.Every(kSettingsInterval, [&reload](TimePoint) { reload(); });
  loop.Run();
  return 0;
}

}  // namespace

int RunEntry(const std::string& settings_file) {
  const auto routing = std::make_shared<platform::RoutingDecoder>();
  const auto decode_part = [routing](std::string_view document) {
    return routing->DecodePart(document, kRoutesPerTurn);
  };
  return RunNode<node::EntryNode>(
      settings_file,
      node::EntryNodeHooks{platform::MakeCallerDialect(), decode_part,
                           platform::IsReadinessCheck});
}

int RunControl(const std::string& settings_file) {
  const auto routing = std::make_shared<platform::RoutingDecoder>();
  const auto decode = [routing](std::string_view document) {
    return routing->Decode(document);
  };
  return RunNode<node::VoterNode>(
      settings_file,
      node::VoterNodeHooks{
          platform::MakeOperatorCallDecoder(routing),
          platform::EncodeOperatorReply, platform::UnknownCallResponse,
          platform::EncodeWeightsOrder, platform::DecodeWeightsOrderResult,
          platform::EncodeWeightsCheck, platform::DecodeWeightsReport, decode,
          platform::EncodeCacheRead, platform::DecodeCacheEvents,
          platform::DecodeCacheList, platform::EncodeCacheFree,
          platform::EncodeDutyCall, platform::DecodeDutyResult});
}
