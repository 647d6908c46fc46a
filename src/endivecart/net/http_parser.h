#ifndef ENDIVECART_NET_HTTP_PARSER_H_
#define ENDIVECART_NET_HTTP_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "endivecart/net/http_message.h"

namespace endivecart::net {

// Internal. Parses one request into an HttpRequest. Rejects ambiguous framing,
// which permits request smuggling: Content-Length together with chunked,
// repeated Content-Length, transfer codings other than chunked.
class RequestParser final : public boost::beast::http::basic_parser<true> {
 public:
  // `budget` may be null.
  RequestParser(std::size_t max_header_bytes,
                std::size_t max_body_bytes,
                ConnectionBudgetPtr budget);

  HttpRequest& request() { return request_; }
  // Whether the client sent "Expect: 100-continue".
  bool expects_continue() const { return expects_continue_; }
  // Makes room for a body of declared length. The base class announces the body
  // only with its first byte.
  void PrepareBody(boost::beast::error_code& error);
  // Returns the bytes reserved for the body.
  std::size_t body_room_bytes() const { return reservation_.bytes(); }
  // Returns the size for which the budget had no room; 0 if it had.
  std::size_t rejected_body_bytes() const { return rejected_body_bytes_; }

 private:
  using Error = boost::beast::error_code;
  using View = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb method,
                       View method_text,
                       View target,
                       int version,
                       Error& error) override;
  void on_response_impl(int, View, int, Error&) override {}
  void on_field_impl(boost::beast::http::field name,
                     View name_text,
                     View value,
                     Error& error) override;
  void on_header_impl(Error& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         Error& error) override;
  std::size_t on_body_impl(View body, Error& error) override;
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t remaining,
                                 View body,
                                 Error& error) override;
  void on_finish_impl(Error&) override;

  std::size_t AppendBody(View body, Error& error);
  void MakeRoom(std::size_t bytes, Error& error);

  const std::size_t max_body_bytes_;
  const ConnectionBudgetPtr budget_;
  HttpRequest request_;
  std::string body_;
  std::size_t room_ = 0;  // for `body_`
  BudgetReservation reservation_;
  std::size_t rejected_body_bytes_ = 0;
  bool header_done_ = false;
  bool expects_continue_ = false;
};

// Internal. Parses one response and passes on its body as it arrives.
class ResponseParser final : public boost::beast::http::basic_parser<false> {
 public:
  using HeadHook = std::function<void(const HttpResponseHead&)>;
  using BodyHook = std::function<void(std::string_view)>;

  // `is_head`: the response is to a HEAD request and has no body.
  ResponseParser(bool is_head,
                 std::size_t max_header_bytes,
                 HeadHook on_head,
                 BodyHook on_body);

  HttpResponseHead& head() { return head_; }

 private:
  using Error = boost::beast::error_code;
  using View = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb,
                       View,
                       View,
                       int,
                       Error&) override {}
  void on_response_impl(int status, View reason, int version, Error&) override;
  void on_field_impl(boost::beast::http::field name,
                     View name_text,
                     View value,
                     Error& error) override;
  void on_header_impl(Error&) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         Error&) override {}
  std::size_t on_body_impl(View body, Error& error) override;
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t remaining,
                                 View body,
                                 Error& error) override;
  void on_finish_impl(Error&) override {}

  HttpResponseHead head_;
  HeadHook on_head_;
  BodyHook on_body_;
  bool header_done_ = false;
};

// Serialization of message heads and chunks.
std::string SerializeRequestHead(const HttpRequest& request);
enum class BodyFraming { kLength, kChunked, kNone };
std::string SerializeResponseHead(const HttpResponseHead& head,
                                  BodyFraming framing,
                                  std::size_t length,
                                  bool close);
std::string SerializeChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_HTTP_PARSER_H_
