#ifndef TESTS_SUPPORT_SMALL_SITE_H_
#define TESTS_SUPPORT_SMALL_SITE_H_

#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "endivecart/endivecart.h"
#include "service_standin.h"
#include "store_standin.h"
#include "upstream_standin.h"

namespace tests {

// A site of one host in the test's process, with stand-ins for one upstream,
// one store and one plain HTTP service. Collects the host's log lines.
class SmallSite {
 public:
  // Starts everything and waits until the host is ready. Throws on failure.
  SmallSite();
  ~SmallSite();

  // Calls the caller API with the given headers and without an API key.
  endivecart::http::CallReply Call(const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   const endivecart::http::Headers& headers);
  // Calls the caller API with the customer's API key.
  endivecart::http::CallReply CallAsCustomer(
      const std::string& method,
      const std::string& path,
      const std::string& body,
      endivecart::http::Headers headers = {});
  // Sends raw bytes to the caller API and returns what is received until the
  // connection ends.
  std::string SendRaw(const std::string& bytes);
  // Calls the operator API with the operator token.
  endivecart::http::CallReply CallOperatorApi(const std::string& method,
                                              const std::string& path,
                                              const std::string& body);
  // Sends `body` to the stand-in's /control path, for example to set a fault.
  void ControlUpstream(const std::string& body);
  void ControlService(const std::string& body);
  // Returns the service's journal: one line per executed call.
  std::vector<std::string> Journal() const;
  // Returns all log lines so far.
  std::string Log() const;
  endivecart::host::Host& host() { return *host_; }

  static constexpr char kKey[] = "the-api-key";
  static constexpr char kOperatorToken[] = "the-operator-token";

 private:
  std::string Url(int port, const std::string& path) const;
  endivecart::settings::HostSettings MakeSettings();
  void WaitUntilReady();

  std::filesystem::path folder_;
  int port_;
  mutable std::mutex mutex_;
  std::string log_;
  std::unique_ptr<standins::UpstreamStandin> upstream_;
  std::unique_ptr<standins::StoreStandin> store_;
  std::unique_ptr<standins::ServiceStandin> service_;
  std::unique_ptr<endivecart::host::Host> host_;
};

}  // namespace tests

#endif  // TESTS_SUPPORT_SMALL_SITE_H_
