#ifndef ENDIVECART_NET_HTTP_MESSAGE_H_
#define ENDIVECART_NET_HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endivecart/net/body.h"

namespace endivecart::net {

// Header fields in the order received; names are case-insensitive.
class HttpFields {
 public:
  struct Field {
    std::string name;
    std::string value;

    bool operator==(const Field&) const = default;
  };

  void Add(std::string_view name, std::string_view value);
  // Replaces all fields of this name by one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
  // Returns the first value of this name, or nullopt if there is none.
  std::optional<std::string_view> Find(std::string_view name) const;
  bool Has(std::string_view name) const { return Find(name).has_value(); }
  // Removes hop-by-hop fields: Connection, the fields it lists, and the fixed
  // set of RFC 9110, section 7.6.1.
  void RemoveHopByHop();

  const std::vector<Field>& all() const { return fields_; }
  // Returns the memory that the fields occupy, not only their text.
  std::size_t MemoryBytes() const;
  bool operator==(const HttpFields&) const = default;

 private:
  std::vector<Field> fields_;
};

// Returns whether two header names or tokens are equal, ignoring ASCII case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

struct HttpRequest {
  std::string method;
  std::string target;  // path with query, as received
  HttpFields fields;
  Body body;

  // Returns `target` without the query.
  std::string_view path() const;
  bool operator==(const HttpRequest&) const = default;
};

struct HttpResponseHead {
  int status = 0;
  HttpFields fields;

  bool operator==(const HttpResponseHead&) const = default;
};

struct HttpResponse {
  HttpResponseHead head;
  std::string body;

  bool operator==(const HttpResponse&) const = default;
};

// Builds a response; adds Content-Type unless `content_type` is empty.
HttpResponse MakeResponse(int status,
                          std::string_view content_type,
                          std::string body);

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_MESSAGE_H_
