#include "endivecart/base/text.h"

#include <boost/locale/utf.hpp>
#include <sstream>

namespace endivecart {

namespace {

using Utf8 = boost::locale::utf::utf_traits<char>;

constexpr char kReplacement[] = "\xEF\xBF\xBD";  // U+FFFD

// Decodes the character at `at`, and moves `at` behind it.
boost::locale::utf::code_point NextCharacter(const char*& at, const char* end) {
  const char* const begin = at;
  const auto character = Utf8::decode(at, end);
  // The bytes after a bad one may be good.
  if (!boost::locale::utf::is_valid_codepoint(character))
    at = begin + 1;
  return character;
}

bool IsControl(boost::locale::utf::code_point character) {
  return character < 0x20 || (character >= 0x7F && character < 0xA0);
}

}  // namespace

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');)
    parts.push_back(part);
  return parts;
}

bool IsPlainText(std::string_view text) {
  const char* const end = text.data() + text.size();
  for (const char* at = text.data(); at != end;) {
    const auto character = NextCharacter(at, end);
    if (!boost::locale::utf::is_valid_codepoint(character) ||
        IsControl(character)) {
      return false;
    }
  }
  return true;
}

std::string ToPlainText(std::string_view text, std::size_t max_bytes) {
  std::string out;
  const char* const end = text.data() + text.size();
  for (const char* at = text.data(); at != end;) {
    const char* const begin = at;
    const auto character = NextCharacter(at, end);
    const auto size = static_cast<std::size_t>(at - begin);
    if (out.size() + size > max_bytes)
      return out + "...";
    if (!boost::locale::utf::is_valid_codepoint(character)) {
      out += kReplacement;
    } else if (IsControl(character)) {
      out += ' ';
    } else {
      out.append(begin, size);
    }
  }
  return out;
}

}  // namespace endivecart
