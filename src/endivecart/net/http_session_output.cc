#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "endivecart/net/http_exchange.h"
#include "endivecart/net/http_session.h"
#include "endivecart/net/socket_options.h"

// The part of HttpSession that writes, rejects and closes.

namespace endivecart::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

// And for no more than this beside a body of legal size.
constexpr std::size_t kMaxLingerBytes = 256UL << 10;
// Less of the rest of a rejected request is kept by the kernel.
constexpr int kMinReceiveBufferBytes = 4 << 10;
// Sent with 503. Most requests end sooner.
constexpr std::string_view kRetryAfterSeconds = "1";

std::string RejectionText(int status) {
  HttpResponse response = MakeResponse(status, "", "");
  if (status == 503)
    response.head.fields.Add("Retry-After", kRetryAfterSeconds);
  return SerializeResponseHead(response.head, BodyFraming::kLength, 0, true);
}

}  // namespace

ConnectionView HttpSession::View() const {
  ConnectionView view;
  const bool is_stalled = stage_ == Stage::kBusy && unsent_ > 0;
  switch (stage_) {
    case Stage::kIdle:
      // The next pipelined request waits for the client to read.
      view.stage =
          unsent_ > 0 ? ConnectionStage::kStalled : ConnectionStage::kIdle;
      break;
    case Stage::kHeader:
    case Stage::kBody:
      view.stage = ConnectionStage::kReceiving;
      break;
    case Stage::kBusy:
      view.stage =
          is_stalled ? ConnectionStage::kStalled : ConnectionStage::kServed;
      break;
    case Stage::kLingering:
    case Stage::kClosed:
      view.stage = ConnectionStage::kLingering;
      break;
  }
  // Closing it gives nothing back, or nothing more.
  if (in_use_ || is_close_posted_)
    view.stage = ConnectionStage::kServed;
  const TimePoint since =
      unsent_ > 0 ? std::max(stage_since_, write_progress_at_) : stage_since_;
  view.age = std::chrono::duration_cast<Millis>(server_->loop.Now() - since);
  view.address = address_;
  view.held_bytes = held_.bytes() + held_unsent_.bytes() +
                    held_answer_.bytes() +
                    (parser_ ? parser_->body_room_bytes() : 0);
  view.was_answered = was_answered_;
  view.number = number_;
  return view;
}

void HttpSession::CloseForRoom() {
  const auto self = shared_from_this();
  server_->Report("closed_for_room");
  if (stage_ == Stage::kHeader || stage_ == Stage::kBody) {
    RefuseAndClose(503);
  } else if (stage_ == Stage::kBusy) {
    PostClose();
  } else {
    Close();
  }
}

void HttpSession::PostClose() {
  is_close_posted_ = true;
  server_->loop.Post([self = shared_from_this()] { self->Close(); });
}

void HttpSession::CloseForRequest() {
  const auto self = shared_from_this();
  server_->Report("closed_for_request");
  if (stage_ == Stage::kBusy) {
    PostClose();
  } else {
    RejectAtOnce();
  }
}

void HttpSession::CloseForSlot() {
  const auto self = shared_from_this();
  server_->Report("closed_for_connection");
  RejectAtOnce();
}

void HttpSession::RejectAtOnce() {
  if ((stage_ == Stage::kHeader || stage_ == Stage::kBody) && unsent_ == 0) {
    // There is no time for a lingering close, so the client may not get it.
    const std::string response = RejectionText(503);
    static_cast<void>(::send(socket_.native_handle(), response.data(),
                             response.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
  }
  Close();
}

void HttpSession::CloseIfStalled() {
  if (unsent_ == 0 || stage_ == Stage::kClosed ||
      server_->loop.Now() - write_progress_at_ < limits_.idle_timeout) {
    return;
  }
  const auto self = shared_from_this();
  server_->Report("stalled_reader");
  Close();
}

void HttpSession::UpdateUnsent() {
  if (!server_->budget)
    return;
  const std::size_t bytes = unsent_ == 0 ? 0 : unsent_ + kMaxNotSentBytes;
  const bool was_in_use = std::exchange(in_use_, true);
  server_->budget->Resize(held_unsent_, HeldKind::kResponses, bytes);
  in_use_ = was_in_use;
}

void HttpSession::RefuseAndClose(int status) {
  LogLine("http.refused").Add("status", status).Debug();
  if (parser_ && parser_->rejected_body_bytes() > 0) {
    LogBodyRejection();
  } else if (status == 400 || status == 413 || status == 431) {
    server_->Report("status_" + std::to_string(status));
  }
  discard_bytes_ = kMaxLingerBytes;
  if (status == 413 || status == 503) {
    discard_until_ = server_->loop.Now() + limits_.body_timeout;
    discard_bytes_ += limits_.max_body_bytes;
  }
  if (server_->budget)
    SetReceiveBuffer(socket_, kMinReceiveBufferBytes);
  Send(RejectionText(status));
  Linger();
}

void HttpSession::RefuseForRoom() {
  server_->Report("no_room_for_request");
  RefuseAndClose(503);
}

void HttpSession::LogBodyRejection() {
  const auto count = server_->Count("body_rejected");
  if (!count)
    return;
  const std::size_t bytes = parser_->rejected_body_bytes();
  const ConnectionBudget& budget = *server_->budget;
  LogLine("http.body_rejected")
      .Add("reason",
           budget.CanEverHold(bytes) ? "no_room" : "larger_than_budget")
      .Add("count", *count)
      .Add("bytes", std::uint64_t{bytes})
      .Add("reserved", std::uint64_t{budget.reserved_bytes()})
      .Add("held", std::uint64_t{budget.held_bytes()})
      .Add("budget", std::uint64_t{budget.bytes()})
      .Warn();
}

void HttpSession::OnResponseFinished(bool keep_alive) {
  if (stage_ == Stage::kClosed)
    return;
  exchange_.reset();
  held_answer_ = BudgetReservation();
  request_bytes_ = 0;
  was_answered_ = true;
  if (!keep_alive) {
    discard_bytes_ = kMaxLingerBytes;
    Linger();
    return;
  }
  SetStage(Stage::kIdle);
  UpdateHeld();
  SetTimer(limits_.idle_timeout);
  // Posted, as the handler may respond synchronously.
  server_->loop.Post([self = shared_from_this()] {
    self->Parse();
    self->Read();
  });
}

void HttpSession::Linger() {
  SetStage(Stage::kLingering);
  parser_.reset();
  request_bytes_ = 0;
  close_check_.reset();
  buffer_.clear();
  buffer_.shrink_to_fit();
  UpdateHeld();
  SetTimer(kLingerTime);
  if (out_.empty() && writing_.empty()) {
    ErrorCode ignored;  // the peer may already have closed
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  } else {
    close_when_written_ = true;
  }
  Read();
}

void HttpSession::Close() {
  if (stage_ == Stage::kClosed)
    return;
  const auto self = shared_from_this();
  stage_ = Stage::kClosed;
  timer_.reset();
  close_check_.reset();
  server_->sessions.erase(this);
  if (server_->budget)
    server_->budget->Remove(this);
  // Pending operations keep the session until the loop's next turn. What waits
  // to be written is in use until then.
  if (!in_use_) {
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
  }
  held_ = BudgetReservation();
  held_answer_ = BudgetReservation();
  ErrorCode ignored;  // a failed close can't be handled
  // Otherwise the kernel would keep what a client that doesn't read has queued.
  if (unsent_ > 0)
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  if (const auto exchange = exchange_.lock())
    exchange->NotifyDisconnected();
}

void HttpSession::Send(std::string bytes) {
  if (stage_ == Stage::kClosed)
    return;
  if (unsent_ == 0)
    write_progress_at_ = server_->loop.Now();
  unsent_ += bytes.size();
  UpdateUnsent();
  out_.push_back(std::move(bytes));
  Flush();
}

void HttpSession::Flush() {
  if (!writing_.empty() || out_.empty() || stage_ == Stage::kClosed)
    return;
  writing_.swap(out_);
  written_ = 0;
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const std::string& bytes : writing_)
    buffers.push_back(asio::buffer(bytes));
  asio::async_write(
      socket_, buffers,
      [this](const ErrorCode& error, std::size_t written) {
        OnWriteProgress(written);
        return asio::transfer_all()(error, written);
      },
      [self = shared_from_this()](const ErrorCode& error, std::size_t written) {
        self->OnWriteProgress(written);
        self->OnWritten(error);
      });
}

void HttpSession::OnWriteProgress(std::size_t written) {
  if (written <= written_)
    return;
  unsent_ -= std::min(unsent_, written - written_);
  written_ = written;
  write_progress_at_ = server_->loop.Now();
  UpdateUnsent();
}

void HttpSession::OnWritten(const ErrorCode& error) {
  writing_.clear();
  if (error || stage_ == Stage::kClosed) {
    Close();
    return;
  }
  Flush();
  if (!writing_.empty())
    return;
  if (close_when_written_) {
    ErrorCode ignored;  // the peer may already have closed
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  if (const auto exchange = exchange_.lock())
    exchange->NotifyDrained();
  // A pipelined request may have waited for it.
  if (stage_ == Stage::kIdle && buffer_.size() > 0) {
    Parse();
    Read();
  }
}

}  // namespace endivecart::net
