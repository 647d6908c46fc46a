#ifndef ENDIVECART_NODE_DUTY_CONTROLLER_H_
#define ENDIVECART_NODE_DUTY_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/duties/duties.h"
#include "endivecart/fleet/fleet.h"
#include "endivecart/net/net.h"

namespace endivecart::node {

// Internal. Performs the duties for the platform while this process is the
// confirmed leader: closes usage windows in the replicated log and sends the
// calls, one at a time on one connection.
class DutyController {
 public:
  struct Options {
    settings::PlatformApi api;
    std::string holder;  // identifies this process to the platform
    duties::DutySchedulerOptions scheduler;

    bool operator==(const Options&) const = default;
  };

  struct Hooks {
    // Whether this process is the confirmed leader at this moment.
    std::function<bool()> is_confirmed_leader;
    std::function<std::uint64_t()> term;
    std::function<const duties::UsageLog&()> usage_log;
    std::function<void(const wire::FleetCommand&,
                       fleet::FleetVoter::ProposalCallback)>
        propose;
    std::function<net::HttpRequest(const duties::DutyCall&,
                                   const std::string& holder,
                                   const settings::Endpoint& address)>
        encode_call;
    std::function<duties::DutyOutcome(int status)> decode_result;
    // Returns nullopt if the document is unusable.
    std::function<std::optional<std::vector<CustomerId>>(
        const std::string& routing_document)>
        decode_customers;

    // Inputs of the duties; a duty whose inputs are missing isn't performed.
    // True time in milliseconds, if known.
    std::function<std::optional<std::uint64_t>(TimePoint)> unix_ms;
    // Returns nullopt if nothing is known of the window.
    std::function<std::optional<std::map<CustomerId, std::uint64_t>>(
        std::uint64_t window)>
        usage_counts;
    // Whether all hosts that serve callers have reported beyond its end.
    std::function<bool(std::uint64_t window, TimePoint)> usage_complete;
    std::function<std::vector<duties::ScaleTarget>(TimePoint)> scale_targets;
  };

  // The references must outlive the controller.
  DutyController(net::EventLoop& loop,
                 Options options,
                 Hooks hooks,
                 MetricsRegistry& metrics);
  DutyController(const DutyController&) = delete;
  DutyController& operator=(const DutyController&) = delete;

  // Must be called regularly, also while another process is the leader.
  void Tick(const fleet::Decisions& decisions);

 private:
  struct CallInProgress {
    duties::DutyCall call;
    TimePoint sent_at;
    int status = 0;
    net::HttpCallPtr http;
    std::unique_ptr<TimerSubscription> timeout;
  };

  // Updates the scheduler; returns whether this process may act now.
  bool UpdateLeadership();
  void ReadCustomers(const fleet::Decisions& decisions);
  void CloseWindow();
  void SendNext();
  void Connect();
  void Send(const duties::DutyCall& call);
  void EndCall(bool is_complete);
  void Finish(const duties::DutyCall& call,
              duties::DutyOutcome outcome,
              int status,
              TimePoint sent_at);
  std::uint64_t FirstWindow(std::uint64_t unix_ms) const;
  std::optional<std::uint64_t> UnixMs() const;

  net::EventLoop& loop_;
  const Options options_;
  const Hooks hooks_;
  MetricsRegistry& metrics_;
  net::HttpClient client_;
  duties::DutyScheduler scheduler_;
  std::optional<CallInProgress> call_;
  bool is_connecting_ = false;
  bool was_connected_ = true;
  TimePoint connect_not_before_{};
  bool is_proposing_ = false;
  std::uint64_t routing_version_ = 0;
  // Nullopt before the first routing configuration.
  std::optional<std::vector<CustomerId>> customers_;
  // When the first routing configuration came, unless it was there already
  // when this process started.
  std::optional<TimePoint> routing_since_;
  bool has_ticked_ = false;
  // Detects that this controller was destroyed before a proposal ended.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace endivecart::node

#endif  // ENDIVECART_NODE_DUTY_CONTROLLER_H_
