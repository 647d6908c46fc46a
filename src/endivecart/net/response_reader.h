#ifndef ENDIVECART_NET_RESPONSE_READER_H_
#define ENDIVECART_NET_RESPONSE_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "endivecart/net/exchange_history.h"
#include "endivecart/net/http_client.h"
#include "endivecart/net/http_parser.h"

namespace endivecart::net {

// Internal. Receives the response to a call; each function may destroy the
// call.
class CallSink {
 public:
  virtual ~CallSink() = default;

  // Returns the id that a response bears; empty if it bears none.
  virtual std::string ResponseId(const HttpResponseHead& head) const = 0;
  virtual void OnHead(const HttpResponseHead& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnEnd(CallResult result) = 0;
};

// Internal. Finds the responses to a client connection's requests, one at a
// time, in the bytes that it receives. Skips extra responses, which answer
// another request than the one under way. Does no I/O.
class ResponseReader {
 public:
  enum class State { kReading, kComplete, kMalformed };

  // Limits of what is skipped while a response is due.
  static constexpr std::size_t kMaxExtraResponses = 16;
  static constexpr std::size_t kMaxExtraBytes = 4UL << 20;

  // `address`: of the server, for logs; must outlive this.
  ResponseReader(std::size_t max_header_bytes, std::string_view address)
      : max_header_bytes_(max_header_bytes), address_(address) {}
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  // Returns whether the response to a request with this id could be told from
  // all others that may come.
  bool MayCarry(std::string_view id) const { return history_.MayCarry(id); }
  // A request is sent, whose response `sink` gets.
  void Begin(CallSink* sink, bool is_head, const CallIdentity& identity);
  // Consumes bytes up to the end of the response.
  void Read(boost::beast::flat_buffer& buffer);
  // The server has closed in order. Returns whether the response is complete.
  bool ReadEnd();
  // Returns the sink, which gets nothing more.
  CallSink* Detach() { return std::exchange(sink_, nullptr); }
  // Frees what is needed for a response only.
  void Reset() { parser_.reset(); }

  CallSink* sink() const { return sink_; }
  bool is_complete() const { return state_ == State::kComplete; }
  bool is_malformed() const { return state_ == State::kMalformed; }
  // Whether the connection may carry another request after this response.
  bool may_continue() const;
  // Returns the header fields of the response; none if no head has come.
  HttpFields fields() const;
  // Returns the number of extra responses since the request was sent.
  std::size_t extra_responses() const { return extra_responses_; }

 private:
  void BeginResponse();
  void OnHead(const HttpResponseHead& head);
  void OnBody(std::string_view bytes);
  bool IsExtra(const std::string& response_id) const;
  bool HasTooManyExtras() const;

  const std::size_t max_header_bytes_;
  const std::string_view address_;
  CallSink* sink_ = nullptr;
  bool is_head_ = false;
  State state_ = State::kReading;
  ExchangeHistory history_;
  std::unique_ptr<ResponseParser> parser_;
  bool skips_unknown_ = false;
  bool is_extra_ = false;  // the response that is being parsed
  // Since the request was sent:
  std::size_t extra_responses_ = 0;
  std::size_t extra_bytes_ = 0;  // of their bodies
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_RESPONSE_READER_H_
