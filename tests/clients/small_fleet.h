#ifndef TESTS_CLIENTS_SMALL_FLEET_H_
#define TESTS_CLIENTS_SMALL_FLEET_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "clients/program.h"
#include "support/temporary_folder.h"

namespace tests {

// The status and body of an HTTP response.
struct Answer {
  int status = 0;
  std::string body;
};

// Sends one request on a connection of its own; nullopt if it isn't answered.
std::optional<Answer> Ask(const std::string& address,
                          int port,
                          const std::string& method,
                          const std::string& target,
                          const std::string& body = "");

// A plain service that announces itself to a control host and records the
// targets of the requests that it runs.
class RecordingService {
 public:
  RecordingService(std::string address, std::string control, int control_port);
  ~RecordingService();

  // Returns how many requests it ran whose target starts with `prefix`.
  std::size_t RunsOf(const std::string& prefix) const;

 private:
  void Accept();
  void Serve(boost::asio::ip::tcp::socket socket);
  void Announce();

  const std::string address_;
  const std::string control_;
  const int control_port_;
  std::atomic<bool> stop_{false};
  mutable std::mutex mutex_;
  std::vector<std::string> targets_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::thread> threads_;
};

// One control host and one entry host as real processes, with a service. Each
// process has an address of its own.
class SmallFleet {
 public:
  // Starts everything and waits until a request is answered. Throws if none is.
  SmallFleet(int memory_mb, int max_descriptors);

  Program& control() { return *control_; }
  Program& entry() { return *entry_; }
  const RecordingService& service() const { return *service_; }
  const std::string& control_address() const { return control_address_; }
  const std::string& entry_address() const { return entry_address_; }
  std::string Log(const std::string& role) const;

  static constexpr int kCallerPort = 7780;
  static constexpr int kOperatorPort = 7781;
  static constexpr std::size_t kMaxHeaderBytes = 16384;
  static constexpr std::size_t kMaxBodyBytes = 4194304;

 private:
  std::string SettingsOf(const std::string& role) const;
  std::unique_ptr<Program> Start(const std::string& role);
  void WaitUntilReady();

  const int memory_mb_;
  const int max_descriptors_;
  const std::string control_address_;
  const std::string entry_address_;
  endivecart::TemporaryFolder folder_;
  std::unique_ptr<Program> control_;
  std::unique_ptr<Program> entry_;
  std::unique_ptr<RecordingService> service_;
};

}  // namespace tests

#endif  // TESTS_CLIENTS_SMALL_FLEET_H_
