#ifndef ENDIVECART_NET_HTTP_MESSAGE_H_
#define ENDIVECART_NET_HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivecart::net {

// Header fields in their order; names compare without case.
class HttpFields {
 public:
  struct Field {
    std::string name;
    std::string value;

    bool operator==(const Field&) const = default;
  };

  void Add(std::string_view name, std::string_view value);
  // Removes all fields of this name, then adds one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
  // The first value of this name; nothing if there is none.
  std::optional<std::string_view> Find(std::string_view name) const;
  bool Has(std::string_view name) const { return Find(name).has_value(); }
  // Removes the fields that concern one connection only: Connection and those
  // that it names, and the fixed ones of RFC 9110.
  void RemoveHopByHop();

  const std::vector<Field>& all() const { return fields_; }
  bool operator==(const HttpFields&) const = default;

 private:
  std::vector<Field> fields_;
};

// Whether two header names or tokens are the same but for case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

struct HttpRequest {
  std::string method;
  std::string target;  // path with query, as received
  HttpFields fields;
  std::string body;

  // `target` without its query.
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

// A whole answer with a body of this type.
HttpResponse MakeResponse(int status,
                          std::string_view content_type,
                          std::string body);

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_MESSAGE_H_
