// Clients that operators do not control, against real processes. All clients
// come from one address, as those behind a load balancer do.

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>

#include "clients/crowd.h"
#include "clients/small_fleet.h"

namespace tests {
namespace {

// The smallest host.
constexpr int kMemoryMb = 88;
constexpr std::size_t kBytesPerMb = 1'000'000;
// A process is to stay under half of its memory.
constexpr std::size_t kMaxBytes = kMemoryMb * kBytesPerMb / 2;
// Lowered, so that a small crowd reaches it. The platform reserves 200 for
// files; the rest is for connections.
constexpr int kDescriptorLimit = 600;
constexpr std::size_t kMaxDescriptors = kDescriptorLimit - 200;
// More than there are descriptors for connections.
constexpr std::size_t kClients = 480;
// A multiple of the crowd, for runs by hand.
constexpr char kFactorVariable[] = "ENDIVECART_CROWD_FACTOR";
// Longer than the timeout of header sections, 3 s.
constexpr std::chrono::seconds kCrowdTime{5};
// Only the wait for a process that answers nothing ends by it.
constexpr int kMaxAsks = 40;

std::size_t CrowdSize() {
  const char* const factor = std::getenv(kFactorVariable);
  return kClients * (factor != nullptr ? std::strtoul(factor, nullptr, 10) : 1);
}

// A fleet with a crowd at one of its addresses.
class CrowdedFleet {
 public:
  CrowdedFleet(bool at_entry, const std::vector<ClientForm>& forms)
      : program_(at_entry ? fleet_.entry() : fleet_.control()),
        address_(at_entry ? fleet_.entry_address() : fleet_.control_address()),
        crowd_(address_,
               at_entry ? SmallFleet::kCallerPort : SmallFleet::kOperatorPort,
               forms,
               CrowdSize()) {
    crowd_.Run(kCrowdTime, [this] {
      const Holdings now = program_.Measure(address_);
      peak_.memory_bytes = std::max(peak_.memory_bytes, now.memory_bytes);
      peak_.descriptors = std::max(peak_.descriptors, now.descriptors);
    });
    peak_.memory_bytes = std::max(peak_.memory_bytes, program_.PeakBytes());
  }

  // Checks all but the answer. The crowd is still connected.
  void Check() {
    BOOST_TEST_MESSAGE("memory " << peak_.memory_bytes << ", descriptors "
                                 << peak_.descriptors);
    BOOST_TEST(program_.IsRunning());
    BOOST_TEST(peak_.memory_bytes < kMaxBytes);
    BOOST_TEST(peak_.descriptors <= kMaxDescriptors);
  }
  SmallFleet& fleet() { return fleet_; }

 private:
  SmallFleet fleet_{kMemoryMb, kDescriptorLimit};
  Program& program_;
  const std::string address_;
  Crowd crowd_;
  Holdings peak_;
};

// Returns the last answer of up to kMaxAsks; the first 200 ends it.
std::optional<Answer> AskUntilDone(const std::string& address,
                                   int port,
                                   const std::string& target) {
  std::optional<Answer> answer;
  for (int i = 0; i < kMaxAsks && !(answer && answer->status == 200); ++i)
    answer = Ask(address, port, "GET", target);
  return answer;
}

void CheckEntry(const std::vector<ClientForm>& forms) {
  CrowdedFleet crowded(true, forms);
  crowded.Check();
  const auto answer = AskUntilDone(crowded.fleet().entry_address(),
                                   SmallFleet::kCallerPort, "/p/ordinary");
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->status == 200);
  // No other request of the crowd is complete.
  BOOST_TEST(crowded.fleet().service().RunsOf("/p/hostile") == 0u);
}

void CheckControl(const std::vector<ClientForm>& forms) {
  CrowdedFleet crowded(false, forms);
  crowded.Check();
  const auto answer = AskUntilDone(crowded.fleet().control_address(),
                                   SmallFleet::kOperatorPort, "/Config.Read");
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->status == 200);
  // The crowd's documents have another version.
  BOOST_TEST(answer->body.find("\"version\":1,") != std::string::npos);
}

std::vector<ClientForm> EntryForms() {
  return AllForms({"POST /p/hostile", "{", "GET /p/large",
                   SmallFleet::kMaxHeaderBytes, SmallFleet::kMaxBodyBytes});
}

std::vector<ClientForm> ControlForms() {
  return AllForms({"POST /Config.Replace", R"({"version":2,"routes":[],)",
                   "GET /Config.Read", SmallFleet::kMaxHeaderBytes,
                   SmallFleet::kMaxBodyBytes});
}

BOOST_AUTO_TEST_SUITE(hostile_clients, *boost::unit_test::label("clients"))

// Guards against LOST: a process of a host ran out of memory or descriptors.
BOOST_DATA_TEST_CASE(an_entry_host_survives_each_form,
                     boost::unit_test::data::make(EntryForms()),
                     form) {
  CheckEntry({form});
}

// Guards against the same where each form by itself is too small a crowd.
BOOST_AUTO_TEST_CASE(an_entry_host_survives_all_forms_at_once) {
  CheckEntry(EntryForms());
}

// Guards against a control host that such clients end.
BOOST_DATA_TEST_CASE(a_control_host_survives_each_form,
                     boost::unit_test::data::make(ControlForms()),
                     form) {
  CheckControl({form});
}

// Guards against the same with all forms together.
BOOST_AUTO_TEST_CASE(a_control_host_survives_all_forms_at_once) {
  CheckControl(ControlForms());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace tests
