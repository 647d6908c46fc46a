#include "endivecart/net/http_parser.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <limits>
#include <utility>

namespace endivecart::net {

namespace http = boost::beast::http;

namespace {

// The first room for a body of unknown length.
constexpr std::size_t kMinRoomBytes = 4UL << 10;
constexpr int kSwitchingProtocols = 101;

std::string_view AsView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

void AppendFields(const HttpFields& fields, std::string& out) {
  for (const HttpFields::Field& field : fields.all()) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
}

}  // namespace

RequestParser::RequestParser(std::size_t max_header_bytes,
                             std::size_t max_body_bytes,
                             ConnectionBudgetPtr budget)
    : max_body_bytes_(max_body_bytes), budget_(std::move(budget)) {
  eager(true);
  header_limit(static_cast<std::uint32_t>(max_header_bytes));
  body_limit(std::numeric_limits<std::uint64_t>::max());
}

void RequestParser::on_request_impl(http::verb,
                                    View method_text,
                                    View target,
                                    int,
                                    Error&) {
  request_.method = AsView(method_text);
  request_.target = AsView(target);
}

void RequestParser::on_field_impl(http::field name,
                                  View name_text,
                                  View value,
                                  Error& error) {
  if (header_done_)
    return;  // a trailer
  if (name == http::field::transfer_encoding &&
      !EqualsIgnoringCase(AsView(value), "chunked")) {
    error = http::error::bad_transfer_encoding;
    return;
  }
  if (name == http::field::host && request_.fields.Has("Host")) {
    error = http::error::bad_field;
    return;
  }
  if (name == http::field::expect &&
      EqualsIgnoringCase(AsView(value), "100-continue")) {
    expects_continue_ = true;
    return;
  }
  request_.fields.Add(AsView(name_text), AsView(value));
}

void RequestParser::on_header_impl(Error&) {
  header_done_ = true;
}

void RequestParser::on_body_init_impl(
    const boost::optional<std::uint64_t>& length,
    Error& error) {
  if (!length)
    return;
  if (*length > max_body_bytes_) {
    error = http::error::body_limit;
    return;
  }
  if (*length > room_)
    MakeRoom(*length, error);
}

void RequestParser::PrepareBody(Error& error) {
  const auto length = content_length_remaining();
  if (length && room_ == 0)
    MakeRoom(*length, error);
}

void RequestParser::MakeRoom(std::size_t bytes, Error& error) {
  BudgetReservation reservation;
  if (budget_) {
    auto reserved = budget_->TryReserve(bytes);
    if (!reserved) {
      rejected_body_bytes_ = bytes;
      error = make_error_code(boost::system::errc::not_enough_memory);
      return;
    }
    reservation = std::move(*reserved);
  }
  // reserve() on a string with contents may allocate more than asked for.
  std::string larger;
  larger.reserve(bytes);
  larger += body_;
  body_ = std::move(larger);
  room_ = bytes;
  reservation_ = std::move(reservation);
}

std::size_t RequestParser::AppendBody(View body, Error& error) {
  const std::size_t size = body_.size() + body.size();
  if (size > max_body_bytes_) {
    error = http::error::body_limit;
    return 0;
  }
  if (size > room_) {
    MakeRoom(
        std::min(max_body_bytes_, std::max({size, 2 * room_, kMinRoomBytes})),
        error);
    if (error)
      return 0;
  }
  body_.append(body.data(), body.size());
  return body.size();
}

std::size_t RequestParser::on_body_impl(View body, Error& error) {
  return AppendBody(body, error);
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t,
                                              View body,
                                              Error& error) {
  return AppendBody(body, error);
}

void RequestParser::on_finish_impl(Error&) {
  request_.body = Body(std::move(body_), std::move(reservation_));
}

ResponseParser::ResponseParser(bool is_head,
                               std::size_t max_header_bytes,
                               HeadHook on_head,
                               BodyHook on_body)
    : on_head_(std::move(on_head)), on_body_(std::move(on_body)) {
  eager(true);
  skip(is_head);
  header_limit(static_cast<std::uint32_t>(max_header_bytes));
  body_limit(std::numeric_limits<std::uint64_t>::max());
}

void ResponseParser::on_response_impl(int status, View, int, Error& error) {
  // HTTP defines no others, and no request asks for another protocol.
  if (status < 100 || status > 599 || status == kSwitchingProtocols) {
    error = http::error::bad_status;
    return;
  }
  head_.status = status;
}

void ResponseParser::on_field_impl(http::field,
                                   View name_text,
                                   View value,
                                   Error&) {
  if (!header_done_)
    head_.fields.Add(AsView(name_text), AsView(value));
}

void ResponseParser::on_header_impl(Error&) {
  header_done_ = true;
  on_head_(head_);
}

std::size_t ResponseParser::on_body_impl(View body, Error&) {
  on_body_(AsView(body));
  return body.size();
}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t,
                                               View body,
                                               Error&) {
  on_body_(AsView(body));
  return body.size();
}

std::string SerializeRequestHead(const HttpRequest& request) {
  std::string out;
  out.reserve(512);
  out += request.method;
  out += ' ';
  out += request.target;
  out += " HTTP/1.1\r\n";
  AppendFields(request.fields, out);
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body)
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  out += "\r\n";
  return out;
}

std::string SerializeResponseHead(const HttpResponseHead& head,
                                  BodyFraming framing,
                                  std::size_t length,
                                  bool close) {
  std::string out;
  out.reserve(512);
  out += "HTTP/1.1 " + std::to_string(head.status) + ' ';
  out += AsView(http::obsolete_reason(static_cast<http::status>(head.status)));
  out += "\r\n";
  AppendFields(head.fields, out);
  if (framing == BodyFraming::kLength)
    out += "Content-Length: " + std::to_string(length) + "\r\n";
  if (framing == BodyFraming::kChunked)
    out += "Transfer-Encoding: chunked\r\n";
  if (close)
    out += "Connection: close\r\n";
  out += "\r\n";
  return out;
}

std::string SerializeChunk(std::string_view bytes) {
  char size[20];
  const auto end =
      std::to_chars(size, size + sizeof size, bytes.size(), 16).ptr;
  std::string out(size, end);
  out += "\r\n";
  out += bytes;
  out += "\r\n";
  return out;
}

}  // namespace endivecart::net
