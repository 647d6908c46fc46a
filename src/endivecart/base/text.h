#ifndef ENDIVECART_BASE_TEXT_H_
#define ENDIVECART_BASE_TEXT_H_

#include <string>
#include <vector>

namespace endivecart {

// The parts of a comma-separated list; none for an empty text.
std::vector<std::string> SplitAtCommas(const std::string& text);

}  // namespace endivecart

#endif  // ENDIVECART_BASE_TEXT_H_
