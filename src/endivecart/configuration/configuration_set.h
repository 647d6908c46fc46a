#ifndef ENDIVECART_CONFIGURATION_CONFIGURATION_SET_H_
#define ENDIVECART_CONFIGURATION_CONFIGURATION_SET_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "endivecart/configuration/configuration_values.h"
#include "endivecart/settings/settings.h"

namespace endivecart::configuration {

// A validated configuration: all lists that operators edit. Immutable.
class ConfigurationSet {
 public:
  ConfigurationSet() = default;

  const std::map<CustomerId, Customer>& customers() const { return customers_; }
  const std::map<std::string, Plan>& plans() const { return plans_; }
  const std::map<std::string, RequestClass>& classes() const {
    return classes_;
  }
  const std::map<ModelId, Model>& models() const { return models_; }
  const std::map<std::string, Service>& services() const { return services_; }
  const std::set<DomainId>& domains_out() const { return domains_out_; }
  const std::map<UpstreamId, UpstreamRule>& upstreams() const {
    return upstreams_;
  }

  bool DomainIsOut(const DomainId& domain) const {
    return domains_out_.contains(domain);
  }
  bool UpstreamIsLeaving(const UpstreamId& upstream) const;
  const Plan& PlanOf(const Customer& customer) const;
  // Returns the customer with this API key, or null if there is none. Compares
  // all digests, so that the time taken does not depend on the key.
  const Customer* FindByKey(std::string_view api_key) const;

  bool operator==(const ConfigurationSet&) const = default;

 private:
  friend class ConfigurationReader;

  std::map<CustomerId, Customer> customers_;
  std::map<std::string, Plan> plans_;
  std::map<std::string, RequestClass> classes_;
  std::map<ModelId, Model> models_;
  std::map<std::string, Service> services_;
  std::set<DomainId> domains_out_;
  std::map<UpstreamId, UpstreamRule> upstreams_;
};

// Parses and validates a configuration document. Reports all errors at once.
Result<ConfigurationSet, settings::SettingsErrors> ParseConfiguration(
    std::string_view text);

// A configuration with its revision, as every host holds it.
struct ConfigurationSnapshot {
  Revision revision = 0;
  std::string document;  // canonical JSON
  ConfigurationSet set;
};

using ConfigurationPtr = std::shared_ptr<const ConfigurationSnapshot>;

// Merges the list files of a folder (customers.json, plans.json, models.json,
// services.json and, if present, domains.json and upstreams.json) into one
// canonical document. Rollouts are not read: moves write them, not operators.
// Errors name the file.
Result<std::string, settings::SettingsErrors> LoadListFolder(
    const std::string& folder);

}  // namespace endivecart::configuration

#endif  // ENDIVECART_CONFIGURATION_CONFIGURATION_SET_H_
