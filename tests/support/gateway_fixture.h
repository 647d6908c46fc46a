#ifndef TESTS_SUPPORT_GATEWAY_FIXTURE_H_
#define TESTS_SUPPORT_GATEWAY_FIXTURE_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "endivecart/gateway/gateway.h"
#include "support/loop_fixture.h"
#include "support/plain_dialect.h"

namespace tests {

// A gateway on loopback with two upstreams whose bytes the test controls.
struct GatewayFixture : LoopFixture {
  GatewayFixture();

  void ApplyDecisions(endivecart::fleet::Decisions decisions);
  void Announce(int i,
                endivecart::upstreams::UpstreamState state,
                std::uint64_t sequence,
                const char* domain = "a");

  static std::string CompleteAnswer(const std::string& id,
                                    const std::string& body);
  // An upstream's answer that states that it didn't run the request.
  static std::string NotRunAnswer(const std::string& id);
  static std::string StreamHead(const std::string& id);
  static std::string Chunk(const std::string& text);

  // Returns the bytes of a request of customer "c", whose key is "k".
  static std::string Request(const std::string& path,
                             const std::string& id = "1",
                             const std::string& extra = "Key: k\r\n");
  // Sends a request and returns all bytes that the caller receives.
  std::string Send(const std::string& path,
                   const std::string& id = "1",
                   const std::string& extra = "Key: k\r\n");

  static bool HasStatus(const std::string& received, int status) {
    return received.starts_with("HTTP/1.1 " + std::to_string(status));
  }

  std::array<RawUpstream, 2> upstreams;
  endivecart::net::HttpClient client;
  endivecart::MetricsRegistry metrics;
  endivecart::gateway::Gateway gateway;
  endivecart::routes::RouteTablePtr table;
  std::unique_ptr<endivecart::net::HttpServer> server;
  std::vector<std::string> requests;  // as received by upstreams
  std::function<void(RawUpstream::Connection&, std::size_t number)> answer;

 private:
  void Prime();
};

}  // namespace tests

#endif  // TESTS_SUPPORT_GATEWAY_FIXTURE_H_
