#include "clients/small_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace tests {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr int kServicePort = 7782;
constexpr std::size_t kLargeAnswerBytes = 256UL << 10;
constexpr std::chrono::milliseconds kAnnounceInterval{300};
constexpr std::chrono::seconds kAskTimeout{2};
// Only the wait for a process that doesn't start ends by it.
constexpr std::chrono::seconds kStartTimeout{60};

// Loopback addresses that differ between test programs that run at once.
std::string AddressFor(int number) {
  const int process = static_cast<int>(getpid());
  return "127." + std::to_string(100 + process / 250 % 100) + "." +
         std::to_string(1 + process % 250) + "." + std::to_string(number);
}

tcp::endpoint EndpointOf(const std::string& address, int port) {
  return {asio::ip::make_address(address), static_cast<std::uint16_t>(port)};
}

std::string Routing() {
  std::ostringstream out;
  out << R"({"version":1,"routes":[{"name":"r","host":"a.example",)"
      << R"("path_prefix":"/p/","type":"safe","timeout_ms":2000,)"
      << R"("target_latency_ms":500,"priority":1,"service":"s",)"
      << R"("attempts":1,"public":true}],"services":[{"name":"s",)"
      << R"("health_path":"/healthz","max_connections":64}],"limits":{)"
      << "\"max_header_bytes\":" << SmallFleet::kMaxHeaderBytes
      << ",\"max_body_bytes\":" << SmallFleet::kMaxBodyBytes
      << R"(,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
  return out.str();
}

}  // namespace

std::optional<Answer> Ask(const std::string& address,
                          int port,
                          const std::string& method,
                          const std::string& target,
                          const std::string& body) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  http::request<http::string_body> request;
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, "a.example");
  request.set("X-Attempt-Id", "ordinary");
  request.body() = body;
  request.prepare_payload();
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  std::optional<Answer> answer;
  stream.expires_after(kAskTimeout);
  stream.async_connect(EndpointOf(address, port), [&](beast::error_code error) {
    if (error)
      return;
    http::async_write(stream, request, [&](beast::error_code failed, auto) {
      if (failed)
        return;
      http::async_read(
          stream, buffer, response, [&](beast::error_code broken, auto) {
            if (!broken) {
              answer = Answer{static_cast<int>(response.result_int()),
                              std::move(response.body())};
            }
          });
    });
  });
  context.run();
  return answer;
}

RecordingService::RecordingService(std::string address,
                                   std::string control,
                                   int control_port)
    : address_(std::move(address)),
      control_(std::move(control)),
      control_port_(control_port),
      acceptor_(context_, EndpointOf(address_, kServicePort)) {
  Accept();
  threads_.emplace_back([this] { context_.run(); });
  threads_.emplace_back([this] { Announce(); });
}

RecordingService::~RecordingService() {
  stop_ = true;
  context_.stop();
  for (std::thread& thread : threads_)
    thread.join();
}

std::size_t RecordingService::RunsOf(const std::string& prefix) const {
  const std::scoped_lock lock(mutex_);
  return static_cast<std::size_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [&](const std::string& t) { return t.starts_with(prefix); }));
}

void RecordingService::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (!error)
          Serve(std::move(socket));
        Accept();
      });
}

void RecordingService::Serve(tcp::socket socket) {
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
  };
  const auto connection = std::make_shared<Connection>(std::move(socket));
  http::async_read(
      connection->socket, connection->buffer, connection->request,
      [this, connection](beast::error_code error, std::size_t) {
        if (error)
          return;
        {
          const std::scoped_lock lock(mutex_);
          targets_.emplace_back(connection->request.target());
        }
        const std::string id(connection->request["X-Attempt-Id"]);
        connection->response.result(http::status::ok);
        connection->response.set("X-Attempt-Id", id);
        connection->response.set("X-Server-Signature", "s." + id + ".s-1");
        connection->response.body() =
            connection->request.target().starts_with("/p/large")
                ? std::string(kLargeAnswerBytes, 'l')
                : "done";
        connection->response.prepare_payload();
        http::async_write(
            connection->socket, connection->response,
            [this, connection](beast::error_code failed, std::size_t) {
              if (!failed)
                Serve(std::move(connection->socket));
            });
      });
}

void RecordingService::Announce() {
  for (int sequence = 1; !stop_; ++sequence) {
    Ask(control_, control_port_, "POST", "/Instances.Heartbeat/s-1",
        R"({"service":"s","address":")" + address_ + ":" +
            std::to_string(kServicePort) +
            R"(","zone":"z","version":"v1","slots":6,"state":"ready",)"
            R"("cold_remaining_ms":0,"born":1,"models":[],"sequence":)" +
            std::to_string(sequence) + "}");
    std::this_thread::sleep_for(kAnnounceInterval);
  }
}

SmallFleet::SmallFleet(int memory_mb, int max_descriptors)
    : memory_mb_(memory_mb),
      max_descriptors_(max_descriptors),
      control_address_(AddressFor(1)),
      entry_address_(AddressFor(2)) {
  std::filesystem::create_directories(folder_.str() + "/data");
  control_ = Start("control");
  entry_ = Start("entry");
  service_ = std::make_unique<RecordingService>(AddressFor(3), control_address_,
                                                kOperatorPort);
  WaitUntilReady();
}

std::string SmallFleet::SettingsOf(const std::string& role) const {
  const bool is_entry = role == "entry";
  const std::string& host = is_entry ? entry_address_ : control_address_;
  std::ostringstream out;
  out << R"({"name":")" << role << R"(","host":")" << host
      << R"(","domain":"z","region":"west","regions":{"z":"west"},"listen":{)";
  if (is_entry) {
    out << R"("callers":")" << host << ":" << kCallerPort << R"(","ready":")"
        << host << R"(:7783","relay":")" << host << R"(:7784",)";
  } else {
    out << R"("operators":")" << host << ":" << kOperatorPort << "\",";
  }
  out << R"("metrics":")" << host << R"(:7785"},"peer_port":7786,)"
      << R"("contacts":[")" << control_address_ << ":" << kOperatorPort
      << "\"],";
  if (!is_entry)
    out << R"("data_folder":")" << folder_.str() << "/data\",";
  out << R"("first_start":true,"memory_mb":)" << memory_mb_ << "}";
  return out.str();
}

std::unique_ptr<Program> SmallFleet::Start(const std::string& role) {
  const std::string file = folder_.str() + "/" + role + ".json";
  std::ofstream(file) << SettingsOf(role);
  return std::make_unique<Program>(
      role, file, folder_.str() + "/" + role + ".log", max_descriptors_);
}

void SmallFleet::WaitUntilReady() {
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  bool has_routing = false;
  while (std::chrono::steady_clock::now() < end) {
    if (!has_routing) {
      const auto answer = Ask(control_address_, kOperatorPort, "POST",
                              "/Config.Replace", Routing());
      has_routing = answer && answer->status == 200;
    } else if (const auto answer =
                   Ask(entry_address_, kCallerPort, "GET", "/p/start");
               answer && answer->status == 200) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  throw std::runtime_error("the fleet is not ready\n" + Log("control") +
                           Log("entry"));
}

std::string SmallFleet::Log(const std::string& role) const {
  std::ifstream in(folder_.str() + "/" + role + ".log");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

}  // namespace tests
