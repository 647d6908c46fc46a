#include "endivecart/membership/upstream.h"

#include <algorithm>

namespace endivecart::membership {

bool Upstream::Serves(const VersionId& version) const {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

}  // namespace endivecart::membership
