#include "clients/crowd.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <string_view>
#include <thread>
#include <utility>

namespace tests {

namespace {

constexpr std::chrono::milliseconds kRound{5};
// Samples are taken, and closed clients connect again, once in so many rounds.
constexpr int kRoundsPerSample = 20;
constexpr std::size_t kSmallPiece = 1460;
// Small, so that unread answers wait at the server soon.
constexpr int kReceiveBufferBytes = 4096;
// Short of its end by one byte.
constexpr std::size_t kShort = 1;

std::string Repeated(std::string_view text, std::size_t bytes) {
  std::string out;
  out.reserve(bytes + text.size());
  while (out.size() + text.size() <= bytes)
    out += text;
  return out;
}

std::string StartOf(const ClientTarget& target) {
  return target.request_line +
         " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: hostile\r\n";
}

std::string WithLength(const ClientTarget& target, std::size_t length) {
  return StartOf(target) + "Content-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

// A header section of the largest legal size, made of `line`, and a body that
// stops short.
std::string FullHeader(const ClientTarget& target, std::string_view line) {
  const std::string start = StartOf(target);
  const std::string end = "Content-Length: 10\r\n\r\n";
  return start +
         Repeated(line, target.max_header_bytes - start.size() - end.size()) +
         end + std::string(10 - kShort, 'b');
}

std::string LargeBody(const ClientTarget& target) {
  std::string body = target.body;
  body.resize(target.max_body_bytes - kShort, ' ');
  return WithLength(target, target.max_body_bytes) + body;
}

std::string Chunked(const ClientTarget& target) {
  constexpr std::size_t kBytes = 256UL << 10;
  return StartOf(target) + "Transfer-Encoding: chunked\r\n\r\n" +
         Repeated("1\r\nx\r\n", kBytes);
}

std::string OddLines(const ClientTarget& target) {
  return FullHeader(target,
                    "!#$%&'*+-.^_`|~:\t \t\r\nConnection: a,,b,\r\nc:\r\n");
}

std::string Complete(const ClientTarget& target) {
  return target.complete_request_line +
         " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: unread\r\n\r\n";
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const ClientForm& form) {
  return out << form.name;
}

std::vector<ClientForm> AllForms(const ClientTarget& target) {
  const std::string start = StartOf(target);
  const std::string long_line = "x: " + std::string(100, 'y') + "\r\n";
  return {
      {"large bodies at once", LargeBody(target), ""},
      {"large bodies in pieces", LargeBody(target), "", kSmallPiece},
      {"chunks of one byte", Chunked(target), ""},
      {"short header lines", FullHeader(target, "a:b\r\n"), ""},
      {"odd header lines", OddLines(target), ""},
      {"unfinished header sections",
       start + Repeated("a:\r\n", target.max_header_bytes - start.size() - 2),
       ""},
      {"header sections over the limit",
       start + Repeated(long_line, 4 * target.max_header_bytes), ""},
      {"header sections without end", start, Repeated(long_line, 65536)},
      {"empty lines without end", "", Repeated("\r\n", 65536)},
      {"nothing", "", ""},
      {"unread answers", "", Repeated(Complete(target), 65536)},
  };
}

Crowd::Crowd(std::string address,
             int port,
             std::vector<ClientForm> forms,
             std::size_t clients)
    : address_(std::move(address)),
      port_(port),
      forms_(std::move(forms)),
      clients_(clients) {
  for (std::size_t i = 0; i < clients; ++i)
    clients_[i].form = &forms_[i % forms_.size()];
}

Crowd::~Crowd() {
  for (const Client& client : clients_) {
    if (client.socket >= 0)
      close(client.socket);
  }
}

void Crowd::Connect(Client& client) const {
  client.socket =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt(client.socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof kReceiveBufferBytes);
  client.sent = 0;
  client.sent_of_rest = 0;
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port_));
  inet_pton(AF_INET, address_.c_str(), &to.sin_addr);
  // The result shows at the first write.
  static_cast<void>(
      connect(client.socket, reinterpret_cast<sockaddr*>(&to), sizeof to));
}

bool Crowd::Write(Client& client) {
  const ClientForm& form = *client.form;
  std::string_view bytes;
  if (client.sent < form.first.size()) {
    bytes = std::string_view(form.first).substr(client.sent, form.piece);
  } else if (!form.rest.empty()) {
    bytes = std::string_view(form.rest).substr(client.sent_of_rest, form.piece);
  } else {
    return true;
  }
  const auto written =
      send(client.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (written < 0)
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINPROGRESS;
  const auto count = static_cast<std::size_t>(written);
  if (client.sent < form.first.size()) {
    client.sent += count;
  } else {
    client.sent_of_rest = (client.sent_of_rest + count) % form.rest.size();
  }
  return true;
}

void Crowd::Run(std::chrono::milliseconds time,
                const std::function<void()>& sample) {
  const auto end = std::chrono::steady_clock::now() + time;
  std::vector<pollfd> states(clients_.size());
  for (int round = 0; std::chrono::steady_clock::now() < end; ++round) {
    const bool is_sample = round % kRoundsPerSample == 0;
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      Client& client = clients_[i];
      if (client.socket < 0 && is_sample)
        Connect(client);
      states[i] = {client.socket, POLLOUT | POLLRDHUP, 0};
    }
    poll(states.data(), states.size(), 0);
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      constexpr short kEnded = POLLERR | POLLHUP | POLLRDHUP;
      const bool ended = (states[i].revents & kEnded) != 0;
      const bool writable = (states[i].revents & POLLOUT) != 0;
      if (ended || (writable && !Write(clients_[i]))) {
        close(clients_[i].socket);
        clients_[i].socket = -1;
      }
    }
    if (is_sample)
      sample();
    std::this_thread::sleep_for(kRound);
  }
}

}  // namespace tests
