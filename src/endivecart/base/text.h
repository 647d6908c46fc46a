#ifndef ENDIVECART_BASE_TEXT_H_
#define ENDIVECART_BASE_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace endivecart {

// Returns the parts of a comma-separated list; none if `text` is empty.
std::vector<std::string> SplitAtCommas(const std::string& text);

// Returns whether `text` is valid UTF-8 without control characters.
bool IsPlainText(std::string_view text);

// Returns at most the first `max_bytes` of `text`, with U+FFFD in place of each
// byte that isn't UTF-8 and a space in place of each control character. Text
// that was cut ends in "...".
std::string ToPlainText(std::string_view text, std::size_t max_bytes);

}  // namespace endivecart

#endif  // ENDIVECART_BASE_TEXT_H_
