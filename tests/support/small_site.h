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

// A site of one host in this process, with stand-ins for one upstream, one
// store and one plain service. Collects the host's log lines.
class SmallSite {
 public:
  SmallSite();
  ~SmallSite();

  // One call of the callers' API, with the given headers besides the key.
  endivecart::http::CallReply Call(const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   const endivecart::http::Headers& headers);
  // The same, with the customer's key.
  endivecart::http::CallReply CallAsCustomer(
      const std::string& method,
      const std::string& path,
      const std::string& body,
      endivecart::http::Headers headers = {});
  // Sends raw bytes and returns what comes back until the connection ends.
  std::string SendRaw(const std::string& bytes);
  endivecart::http::CallReply Operate(const std::string& method,
                                      const std::string& path,
                                      const std::string& body);
  void ControlUpstream(const std::string& body);
  void ControlService(const std::string& body);
  std::vector<std::string> Journal() const;
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
