#include "endivecart/net/http_message.h"

#include <algorithm>
#include <array>
#include <unordered_set>

#include "endivecart/base/base.h"

namespace endivecart::net {

namespace {

// RFC 9110, section 7.6.1, and non-standard hop-by-hop fields.
constexpr std::array<std::string_view, 8> kHopByHop = {
    "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authenticate",
    "TE",         "Trailer",    "Transfer-Encoding", "Upgrade"};

char LowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string LowerAscii(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](char c) { return LowerAscii(c); });
  return out;
}

// Returns the bytes of a string outside of the object, with the allocator's
// overhead.
std::size_t HeapBytes(const std::string& text) {
  constexpr std::size_t kAllocationBytes = 16;
  static const std::size_t kInlineCapacity = std::string().capacity();
  return text.capacity() > kInlineCapacity ? text.capacity() + kAllocationBytes
                                           : 0;
}

std::string Trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string::npos)
    return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return LowerAscii(x) == LowerAscii(y);
         });
}

void HttpFields::Add(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
}

void HttpFields::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void HttpFields::Remove(std::string_view name) {
  std::erase_if(fields_, [&](const Field& field) {
    return EqualsIgnoringCase(field.name, name);
  });
}

std::optional<std::string_view> HttpFields::Find(std::string_view name) const {
  const auto it = std::find_if(
      fields_.begin(), fields_.end(),
      [&](const Field& field) { return EqualsIgnoringCase(field.name, name); });
  if (it == fields_.end())
    return std::nullopt;
  return it->value;
}

void HttpFields::RemoveHopByHop() {
  // A set, as a request may have thousands of fields and name as many.
  std::unordered_set<std::string> names;
  for (const std::string_view name : kHopByHop)
    names.insert(LowerAscii(name));
  for (const Field& field : fields_) {
    if (!EqualsIgnoringCase(field.name, "Connection"))
      continue;
    for (const std::string& token : SplitAtCommas(field.value))
      names.insert(LowerAscii(Trimmed(token)));
  }
  std::erase_if(fields_, [&](const Field& field) {
    return names.contains(LowerAscii(field.name));
  });
}

std::size_t HttpFields::MemoryBytes() const {
  std::size_t bytes = fields_.capacity() * sizeof(Field);
  for (const Field& field : fields_)
    bytes += HeapBytes(field.name) + HeapBytes(field.value);
  return bytes;
}

std::string_view HttpRequest::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

HttpResponse MakeResponse(int status,
                          std::string_view content_type,
                          std::string body) {
  HttpResponse response;
  response.head.status = status;
  if (!content_type.empty())
    response.head.fields.Add("Content-Type", content_type);
  response.body = std::move(body);
  return response;
}

}  // namespace endivecart::net
