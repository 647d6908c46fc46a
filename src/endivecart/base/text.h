#ifndef ENDIVECART_BASE_TEXT_H_
#define ENDIVECART_BASE_TEXT_H_

#include <string>
#include <vector>

namespace endivecart {

// Returns the parts of a comma-separated list; none if `text` is empty.
std::vector<std::string> SplitAtCommas(const std::string& text);

}  // namespace endivecart

#endif  // ENDIVECART_BASE_TEXT_H_
