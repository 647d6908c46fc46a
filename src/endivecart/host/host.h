#ifndef ENDIVECART_HOST_HOST_H_
#define ENDIVECART_HOST_HOST_H_

// Public header of the host library: a complete host, assembled from the other
// libraries.

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

// Why a host did not start.
struct HostError {
  HostErrorCode code;
  std::string detail;

  bool operator==(const HostError&) const = default;
};

// A running host. The control node and the slot exchange run on one control
// thread; requests run on the threads of the HTTP servers.
class Host {
 public:
  // Starts a host: validates its lists, opens its storage and starts its
  // servers.
  static Result<std::unique_ptr<Host>, HostError> Start(HostOptions options);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // Fails readiness checks, waits for active requests, then reports this host
  // as down. Returns true if no request was cut off.
  bool StopGracefully();

 private:
  Host();
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endivecart::host

#endif  // ENDIVECART_HOST_HOST_H_
