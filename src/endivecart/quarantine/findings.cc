#include "endivecart/quarantine/findings.h"

#include <algorithm>

namespace endivecart::quarantine {

namespace {

constexpr std::size_t kMaxKeyBytes = 64;

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

std::string Joined(const PartList& parts) {
  std::string text;
  for (const std::string& part : parts)
    text += (text.empty() ? "" : ",") + part;
  return text;
}

}  // namespace endivecart::quarantine
