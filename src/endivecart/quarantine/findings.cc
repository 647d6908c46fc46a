#include "endivecart/quarantine/findings.h"

#include <algorithm>

namespace endivecart::quarantine {

namespace {

constexpr std::size_t kMaxKeyBytes = 64;
// Of a SHA-256, in hexadecimal.
constexpr std::size_t kRequestDigestDigits = 24;

std::string RequestKey(const RequestIdentity& identity) {
  return "request:" +
         Sha256HexOfFields({identity.method, identity.host, identity.target,
                            identity.customer, identity.body})
             .substr(0, kRequestDigestDigits);
}

}  // namespace

PartList PartKeys(const std::vector<std::string>& ids) {
  PartList keys;
  for (const std::string& id : ids) {
    if (keys.size() == kMaxPartsPerPrompt)
      break;
    keys.push_back(id.size() <= kMaxKeyBytes
                       ? id
                       : "digest-" + std::to_string(StableHash(id)));
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

PartList RequestKeys(const RequestIdentity& identity) {
  PartList keys{RequestKey(identity)};
  const std::size_t query = identity.target.find('?');
  if (query != std::string_view::npos) {
    RequestIdentity without_query = identity;
    without_query.target = identity.target.substr(0, query);
    keys.push_back(RequestKey(without_query));
  }
  return keys;
}

std::string Joined(const PartList& parts) {
  std::string text;
  for (const std::string& part : parts)
    text += (text.empty() ? "" : ",") + part;
  return text;
}

}  // namespace endivecart::quarantine
