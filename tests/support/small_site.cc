#include "support/small_site.h"

#include <Poco/Net/StreamSocket.h>

#include <fstream>
#include <thread>

namespace tests {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

namespace {

constexpr char kAnnounceToken[] = "the-announce-token";
constexpr int kFirstPort = 21000;
constexpr int kPortsPerSite = 10;

std::string MakeLists(int service_port) {
  return R"({"customers":{"hail":{"plan":"p","key_digests":[")" +
         Sha256Hex(SmallSite::kKey) +
         R"("]}},"plans":{"p":{"requests_per_s":1000,"concurrent":100,
            "models":["quill"],"services":["orders"],"classes":["quote"]}},
            "classes":{"quote":{"deadline_ms":10000}},
            "models":{"quill":{"version":"v1"}},
            "services":{"orders":{"backends":[{"url":"http://127.0.0.1:)" +
         std::to_string(service_port) + R"(","domain":"a"}]}}})";
}

}  // namespace

SmallSite::SmallSite()
    : folder_(
          std::filesystem::temp_directory_path() /
          ("endivecart-site-" +
           std::to_string(
               std::chrono::steady_clock::now().time_since_epoch().count()))) {
  static int sites = 0;
  port_ = kFirstPort + kPortsPerSite * sites++;
  SetLogSinkForTest([this](const std::string& line) {
    std::scoped_lock lock(mutex_);
    log_ += line + "\n";
  });
  std::filesystem::create_directories(folder_ / "lists");
  std::ofstream(folder_ / "lists" / "customers.json") << MakeLists(port_ + 5);
  standins::UpstreamOptions upstream;
  upstream.listen = {"127.0.0.1", port_ + 3};
  upstream.id = "u1";
  upstream.domain = "a";
  upstream.model = "quill";
  upstream.versions = {"v1"};
  upstream.prefill_tokens_per_s = 1000000;
  upstream.announce_to = {Url(port_ + 1, "")};
  upstream.announce_token = kAnnounceToken;
  upstream_ = std::make_unique<standins::UpstreamStandin>(upstream);
  store_ = std::make_unique<standins::StoreStandin>(
      standins::StoreOptions{{"127.0.0.1", port_ + 4}});
  service_ =
      std::make_unique<standins::ServiceStandin>(standins::ServiceOptions{
          {"127.0.0.1", port_ + 5}, (folder_ / "journal").string()});
  auto host = host::Host::Start(
      {MakeSettings(), entry::RoutingPolicy::kPredicted, true});
  if (!host)
    throw std::runtime_error(host.error().detail);
  host_ = std::move(*host);
  for (const std::string& error :
       {upstream_->Start(), store_->Start(), service_->Start()}) {
    if (!error.empty())
      throw std::runtime_error(error);
  }
  WaitUntilReady();
}

SmallSite::~SmallSite() {
  upstream_.reset();
  host_.reset();
  SetLogSinkForTest(nullptr);
  std::filesystem::remove_all(folder_);
}

settings::HostSettings SmallSite::MakeSettings() {
  const transport::CurveKeyPair keys = transport::GenerateCurveKeyPair();
  settings::HostSettings settings;
  settings.host = HostId("a1");
  settings.domain = DomainId("a");
  settings.callers = {"127.0.0.1", port_};
  settings.operators = {"127.0.0.1", port_ + 1};
  settings.control = {"127.0.0.1", port_ + 2};
  settings.data_folder = folder_ / "data";
  settings.secret_key = keys.secret_key;
  settings.operator_token_digest = Sha256Hex(kOperatorToken);
  settings.announce_token_digest = Sha256Hex(kAnnounceToken);
  settings.lists_folder = folder_ / "lists";
  settings.hosts = {{settings.host, settings.domain, settings.control,
                     keys.public_key, true}};
  settings.stores = {
      {"s0", settings.domain, Url(port_ + 4, ""), 50000000, 1000000000}};
  settings.limits.max_body_bytes = 1 << 20;
  return settings;
}

void SmallSite::WaitUntilReady() {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (std::chrono::steady_clock::now() < end) {
    const auto reply = CallOperatorApi("GET", "/v1/upstreams", "");
    if (reply.body.find("u1") != std::string::npos &&
        CallOperatorApi("GET", "/v1/status", "").body.find("\"fresh\":true") !=
            std::string::npos) {
      return;
    }
    std::this_thread::sleep_for(Millis(20));
  }
  throw std::runtime_error("the site was not ready after 30 s");
}

std::string SmallSite::Url(int port, const std::string& path) const {
  return "http://127.0.0.1:" + std::to_string(port) + path;
}

http::CallReply SmallSite::Call(const std::string& method,
                                const std::string& path,
                                const std::string& body,
                                const http::Headers& headers) {
  http::CallRequest request;
  request.method = method;
  request.url = Url(port_, path);
  request.body = body;
  request.headers = headers;
  request.timeout = Millis(20000);
  auto reply = http::Call(request);
  return reply ? *reply : http::CallReply{};
}

http::CallReply SmallSite::CallAsCustomer(const std::string& method,
                                          const std::string& path,
                                          const std::string& body,
                                          http::Headers headers) {
  headers["Authorization"] = std::string("Bearer ") + kKey;
  return Call(method, path, body, headers);
}

http::CallReply SmallSite::CallOperatorApi(const std::string& method,
                                           const std::string& path,
                                           const std::string& body) {
  http::CallRequest request;
  request.method = method;
  request.url = Url(port_ + 1, path);
  request.body = body;
  request.headers["Authorization"] = std::string("Bearer ") + kOperatorToken;
  auto reply = http::Call(request);
  return reply ? *reply : http::CallReply{};
}

std::string SmallSite::SendRaw(const std::string& bytes) {
  std::string out;
  char buffer[4096];
  try {
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(
        "127.0.0.1", static_cast<Poco::UInt16>(port_)));
    socket.setReceiveTimeout(Poco::Timespan(5, 0));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    socket.shutdownSend();
    for (int n = 0; (n = socket.receiveBytes(buffer, sizeof buffer)) > 0;)
      out.append(buffer, static_cast<std::size_t>(n));
  } catch (const Poco::Exception&) {
    // The host may reset the connection while invalid bytes are sent.
  }
  return out;
}

void SmallSite::ControlUpstream(const std::string& body) {
  http::CallRequest request;
  request.method = "POST";
  request.url = Url(port_ + 3, "/control");
  request.body = body;
  http::Call(request);
}

void SmallSite::ControlService(const std::string& body) {
  http::CallRequest request;
  request.method = "POST";
  request.url = Url(port_ + 5, "/control");
  request.body = body;
  http::Call(request);
}

std::vector<std::string> SmallSite::Journal() const {
  std::vector<std::string> lines;
  std::ifstream in(folder_ / "journal");
  for (std::string line; std::getline(in, line);)
    lines.push_back(line);
  return lines;
}

std::string SmallSite::Log() const {
  std::scoped_lock lock(mutex_);
  return log_;
}

}  // namespace tests
