#ifndef ENDIVECART_FLEET_LOAD_TABLE_H_
#define ENDIVECART_FLEET_LOAD_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/transport/transport.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::fleet {

// The names of upstreams that a receiver of a LoadTable already has.
struct KnownNames {
  std::uint64_t epoch = 0;
  std::size_t count = 0;

  bool operator==(const KnownNames&) const = default;
};

// The sender's side of wire::FleetLoads: the outstanding work that hosts report
// for each upstream, and which upstreams have gone silent. Sums are updated
// with each report, so that the cost of an answer depends on the number of
// upstreams but not on that of hosts.
class LoadTable {
 public:
  // An upstream is listed as silent, with the age of its last announcement, if
  // that is older. Hosts take any other's to be of this age, so a larger value
  // delays their trust in an upstream that has recovered.
  static constexpr Millis kSilentAfter{1000};
  // How often the list of silent upstreams is made.
  static constexpr Millis kSilentListInterval{100};
  // Names are numbered anew once so many more are unused than used.
  static constexpr std::size_t kMaxUnusedNames = 64;

  // `epoch` of the names must differ from that of any earlier process on this
  // host.
  explicit LoadTable(std::uint64_t epoch) : epoch_(epoch) {}

  // Replaces what `host` reported before.
  void Set(const HostId& host, std::vector<wire::UpstreamLoad> loads);
  // Returns the sums over all hosts but `receiver`, and the names that the
  // receiver lacks.
  wire::FleetLoads Encode(const HostId& receiver,
                          const KnownNames& known,
                          const upstreams::UpstreamRegistry& registry,
                          TimePoint now);
  // Returns the sum over all hosts.
  wire::UpstreamLoad TotalOf(const UpstreamId& upstream) const;
  // Numbers the names anew if most of them are of upstreams that `registry` no
  // longer knows.
  void DropUnused(const upstreams::UpstreamRegistry& registry);

 private:
  struct Sum {
    std::int64_t requests = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t held_tokens = 0;

    void Add(const wire::UpstreamLoad& load, int sign);
    bool operator==(const Sum&) const = default;
  };

  std::uint32_t NumberOf(const std::string& upstream);
  void UpdateSilent(const upstreams::UpstreamRegistry& registry, TimePoint now);

  std::map<HostId, std::vector<wire::UpstreamLoad>> reports_;
  std::uint64_t epoch_;
  std::vector<std::string> names_;
  std::map<std::string, std::uint32_t> numbers_;
  std::vector<Sum> sums_;  // by number
  // Numbers of silent upstreams, with the time of the last announcement.
  std::vector<std::pair<std::uint32_t, TimePoint>> silent_;
  TimePoint silent_updated_at_{};
};

// The receiver's side.
class RemoteLoads {
 public:
  using HeardCallback = std::function<void(const UpstreamId&, TimePoint)>;

  // Replaces all loads. Calls `on_heard` for each named upstream with a time at
  // or after which it announced itself last.
  void Apply(const wire::FleetLoads& loads,
             TimePoint now,
             const HeardCallback& on_heard);
  // Forgets the names, which another sender numbers differently.
  void Clear();

  KnownNames known_names() const { return {epoch_, names_.size()}; }
  // Returns nullptr if there is no load.
  const wire::UpstreamLoad* Find(const UpstreamId& upstream) const;

 private:
  std::uint64_t epoch_ = 0;
  std::vector<UpstreamId> names_;
  std::map<UpstreamId, wire::UpstreamLoad> loads_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_LOAD_TABLE_H_
