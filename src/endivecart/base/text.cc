#include "endivecart/base/text.h"

#include <sstream>

namespace endivecart {

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');)
    parts.push_back(part);
  return parts;
}

}  // namespace endivecart
