#ifndef ENDIVECART_FLEET_UPSTREAM_NAMES_H_
#define ENDIVECART_FLEET_UPSTREAM_NAMES_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::fleet {

// The names of upstreams that a receiver already has.
struct KnownNames {
  std::uint64_t epoch = 0;
  std::size_t count = 0;

  bool operator==(const KnownNames&) const = default;
};

// Numbers upstreams by their position in a list that each receiver gets once,
// so that messages needn't repeat their names.
class UpstreamNames {
 public:
  // `epoch` must differ from that of any earlier process on this host.
  explicit UpstreamNames(std::uint64_t epoch) : epoch_(epoch) {}

  std::uint64_t epoch() const { return epoch_; }
  std::size_t size() const { return names_.size(); }
  const std::string& at(std::size_t number) const { return names_.at(number); }
  // Adds the name if it is new.
  std::uint32_t NumberOf(const std::string& upstream);
  std::optional<std::uint32_t> Find(const std::string& upstream) const;
  // Begins a new, empty list.
  void Restart();

  // Adds what `known` lacks to a message with the fields names_epoch,
  // first_name and names.
  template <class Message>
  void AddMissing(const KnownNames& known, Message& message) const {
    const std::size_t first =
        known.epoch == epoch_ ? std::min(known.count, names_.size()) : 0;
    message.set_names_epoch(epoch_);
    message.set_first_name(static_cast<std::uint32_t>(first));
    for (std::size_t number = first; number < names_.size(); ++number)
      message.add_names(names_[number]);
  }

 private:
  std::uint64_t epoch_;
  std::vector<std::string> names_;
  std::unordered_map<std::string, std::uint32_t> numbers_;
};

// The receiver's side.
class ReceivedNames {
 public:
  KnownNames known() const { return {epoch_, names_.size()}; }
  std::size_t size() const { return names_.size(); }
  // Returns an empty id if the name can't be used.
  const UpstreamId& at(std::size_t number) const { return names_.at(number); }
  void Clear();

  // Adds the names of a message. Returns whether it has another epoch than the
  // earlier ones, so that these were dropped.
  template <class Message>
  bool Update(const Message& message) {
    const bool is_new_epoch = message.names_epoch() != epoch_;
    if (is_new_epoch) {
      Clear();
      epoch_ = message.names_epoch();
    }
    // An answer to an older poll repeats names; one after a lost answer lacks
    // some, which the next poll asks for.
    for (int i = 0; i < message.names_size(); ++i) {
      if (message.first_name() + static_cast<std::size_t>(i) == names_.size())
        Add(message.names(i));
    }
    return is_new_epoch;
  }

 private:
  // Adds an empty id instead of a name that can't be used, since the names
  // after it keep their positions.
  void Add(const std::string& name);

  std::uint64_t epoch_ = 0;
  std::vector<UpstreamId> names_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_UPSTREAM_NAMES_H_
