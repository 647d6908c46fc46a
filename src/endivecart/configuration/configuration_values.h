#ifndef ENDIVECART_CONFIGURATION_CONFIGURATION_VALUES_H_
#define ENDIVECART_CONFIGURATION_CONFIGURATION_VALUES_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::configuration {

// Limits and permissions of the customers of a plan.
struct Plan {
  std::string name;
  int weight = 1;          // share of a contended resource
  int requests_per_s = 0;  // for the whole site
  int burst = 0;           // requests
  int concurrent = 0;      // requests, for the whole site
  int max_queue = 0;       // waiting requests per host
  std::set<ModelId> models;
  std::set<std::string> services;
  std::set<std::string> classes;
  std::int64_t cache_floor_bytes = 0;  // per customer, not evicted from stores

  bool operator==(const Plan&) const = default;
};

struct Customer {
  CustomerId id;
  std::string plan;
  std::vector<std::string> key_digests;  // SHA-256, hexadecimal

  bool operator==(const Customer&) const = default;
};

// A class of requests with its priority and deadline, such as "caption-check".
struct RequestClass {
  std::string name;
  int priority = 0;  // 0 is the most urgent
  Millis deadline{0};

  bool operator==(const RequestClass&) const = default;
};

enum class RolloutState { kRunning, kDone, kTakenBack };

std::string_view RolloutStateName(RolloutState state);

// The move of a model's traffic to a new version.
struct Rollout {
  VersionId version;
  VersionId previous;  // promoted before this one; set once the rollout is done
  RolloutState state = RolloutState::kRunning;
  int share_permille = 0;        // of the model's new requests
  std::int64_t started_ms = 0;   // Unix time
  std::int64_t deadline_ms = 0;  // Unix time
  std::string route;             // class name; empty for all
  std::string reason;

  bool operator==(const Rollout&) const = default;
};

struct Model {
  ModelId id;
  VersionId version;  // the promoted one
  std::optional<Rollout> rollout;

  bool operator==(const Model&) const = default;
};

struct ServiceBackend {
  std::string url;
  DomainId domain;

  bool operator==(const ServiceBackend&) const = default;
};

// An HTTP service that is not a model engine.
struct Service {
  std::string name;
  bool idempotent = false;  // calls may be repeated
  std::vector<ServiceBackend> backends;

  bool operator==(const Service&) const = default;
};

// Configured properties of an upstream, in addition to its announcement.
struct UpstreamRule {
  UpstreamId id;
  bool checks_fencing = false;  // rejects orders with an old fencing number
  bool leaving = false;

  bool operator==(const UpstreamRule&) const = default;
};

}  // namespace endivecart::configuration

#endif  // ENDIVECART_CONFIGURATION_CONFIGURATION_VALUES_H_
