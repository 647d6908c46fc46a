#ifndef ENDIVECART_HOST_HOST_H_
#define ENDIVECART_HOST_HOST_H_

// Public header of the host library: one whole host of the system, put
// together from the slices.

#include <memory>
#include <string>

#include "endivecart/base/base.h"
#include "endivecart/entry/entry.h"
#include "endivecart/settings/settings.h"

namespace endivecart::host {

struct HostOptions {
  settings::HostSettings settings;
  entry::RoutingPolicy policy = entry::RoutingPolicy::kPredicted;
  bool found_site = false;  // create the data folder of a new site
};

enum class HostErrorCode { kStorage, kTransport, kListen, kLists };

struct HostError {
  HostErrorCode code;
  std::string detail;

  bool operator==(const HostError&) const = default;
};

// A running host. Everything that belongs to control runs on one thread of its
// own; requests run on the HTTP servers' threads.
class Host {
 public:
  static Result<std::unique_ptr<Host>, HostError> Start(HostOptions options);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // A planned stop: no longer ready, then every request gets its answer, then
  // leases are given up. True if no request was cut.
  bool StopGracefully();

 private:
  Host();
  class Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace endivecart::host

#endif  // ENDIVECART_HOST_HOST_H_
