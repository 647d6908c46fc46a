// Helpers for the scripts of review/6 to review/10: starts the project's
// programs on loopback addresses, and small stand-ins for servers, clients and
// the operator, as the users' pages describe them.
#ifndef REVIEW_SITE_2_HPP_
#define REVIEW_SITE_2_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace site {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

// Ends the script, and with it the processes that it started, as a case that
// couldn't run.
inline void LimitTime(unsigned seconds) {
  signal(SIGALRM, [](int) { ::_exit(2); });
  ::alarm(seconds);
}

// Milliseconds since the start of the script.
inline long NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}
inline void SleepMs(long ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline long UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// record.txt of the case.
class Record {
 public:
  void Open(const std::string& path) { out_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const std::scoped_lock lock(mutex_);
    std::fprintf(out_ ? out_ : stdout, "%8ld %s\n", NowMs(), text);
    std::fflush(out_ ? out_ : stdout);
  }

 private:
  std::mutex mutex_;
  std::FILE* out_ = nullptr;
};
inline Record record;

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

inline std::string Lower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

// A message of HTTP/1.1, either way.
struct Message {
  std::string first;  // request line or status line
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool complete = false;
  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (Lower(key) == Lower(name))
        return value;
    }
    return {};
  }
  bool Has(const std::string& name) const {
    return std::any_of(fields.begin(), fields.end(), [&](const auto& f) {
      return Lower(f.first) == Lower(name);
    });
  }
  std::string Word(int index) const {
    std::size_t at = 0;
    for (int i = 0; i < index && at != std::string::npos; ++i) {
      at = first.find(' ', at);
      if (at != std::string::npos)
        ++at;
    }
    if (at == std::string::npos)
      return {};
    return first.substr(at, first.find(' ', at) - at);
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

// One TCP channel with a read buffer.
class Channel {
 public:
  explicit Channel(int fd = -1) : fd_(fd) {}
  ~Channel() { Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  bool Connect(const Address& to,
               long timeout_ms,
               const std::string& from_ip = "") {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (!from_ip.empty()) {
      const sockaddr_in own = ToSockaddr({from_ip, 0});
      ::bind(fd_, reinterpret_cast<const sockaddr*>(&own), sizeof own);
    }
    const sockaddr_in address = ToSockaddr(to);
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
    ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    pollfd waiting{fd_, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    const bool ok =
        ::poll(&waiting, 1, static_cast<int>(timeout_ms)) == 1 &&
        ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
        error == 0;
    if (!ok) {
      Close();
      return false;
    }
    return true;
  }
  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }
  void Reset() {
    const linger hard{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }
  bool Write(const std::string& bytes, long timeout_ms = 5000) {
    const long end = NowMs() + timeout_ms;
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n = ::send(fd_, bytes.data() + done, bytes.size() - done,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        done += static_cast<std::size_t>(n);
        continue;
      }
      if (n < 0 && errno != EAGAIN && errno != EINTR)
        return false;
      pollfd waiting{fd_, POLLOUT, 0};
      if (NowMs() >= end)
        return false;
      ::poll(&waiting, 1, 50);
    }
    return true;
  }
  // Reads more into the buffer. Returns false at the end or after the time.
  bool Fill(long until_ms) {
    while (true) {
      const long left = until_ms - NowMs();
      if (left <= 0 || fd_ < 0)
        return false;
      pollfd waiting{fd_, POLLIN, 0};
      const int ready = ::poll(&waiting, 1, static_cast<int>(left));
      if (ready == 0)
        return false;
      char bytes[16384];
      const ssize_t n = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
      if (n > 0) {
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
      }
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        continue;
      closed_ = true;
      return false;
    }
  }
  bool closed() const { return closed_; }
  // Returns whether the peer has closed while nothing is expected.
  bool PeerClosed() {
    char byte = 0;
    const ssize_t n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  }
  // Reads a head; nullopt if none came in time.
  std::optional<Message> ReadHead(long until_ms) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until_ms))
        return std::nullopt;
    }
    Message message;
    const std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    message.first = head.substr(0, at);
    at += 2;
    while (at < head.size()) {
      const std::size_t eol = head.find("\r\n", at);
      const std::string line = head.substr(at, eol - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
          ++value;
        message.fields.emplace_back(line.substr(0, colon), line.substr(value));
      }
      at = eol + 2;
    }
    return message;
  }
  bool ReadExactly(std::size_t bytes, std::string& out, long until_ms) {
    while (buffer_.size() < bytes) {
      if (!Fill(until_ms))
        return false;
    }
    out.append(buffer_, 0, bytes);
    buffer_.erase(0, bytes);
    return true;
  }
  bool ReadLine(std::string& out, long until_ms) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill(until_ms))
        return false;
    }
    out = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }
  // Reads the body that `message` announces; sets `complete`.
  void ReadBody(Message& message, bool is_answer, long until_ms) {
    if (Lower(message.Field("Transfer-Encoding")) == "chunked") {
      while (true) {
        std::string line;
        if (!ReadLine(line, until_ms))
          return;
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
          while (ReadLine(line, until_ms) && !line.empty()) {
          }
          message.complete = line.empty();
          return;
        }
        if (!ReadExactly(size, message.body, until_ms) ||
            !ReadLine(line, until_ms))
          return;
      }
    }
    if (message.Has("Content-Length")) {
      message.complete = ReadExactly(
          std::strtoul(message.Field("Content-Length").c_str(), nullptr, 10),
          message.body, until_ms);
      return;
    }
    if (is_answer) {
      while (Fill(until_ms)) {
      }
      message.body += buffer_;
      buffer_.clear();
      message.complete = closed_;
      return;
    }
    message.complete = true;
  }
  std::optional<Message> Read(bool is_answer, long until_ms) {
    auto message = ReadHead(until_ms);
    if (message)
      ReadBody(*message, is_answer, until_ms);
    return message;
  }
  const std::string& buffered() const { return buffer_; }

 private:
  int fd_ = -1;
  bool closed_ = false;
  std::string buffer_;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string RequestText(const std::string& method,
                               const std::string& target,
                               const Fields& fields,
                               const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields)
    text += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// One call on a new channel.
inline std::optional<Message> Call(const Address& to,
                                   const std::string& method,
                                   const std::string& target,
                                   const Fields& fields,
                                   const std::string& body,
                                   long timeout_ms = 1000) {
  Channel channel;
  const long until = NowMs() + timeout_ms;
  if (!channel.Connect(to, timeout_ms))
    return std::nullopt;
  Fields all = fields;
  all.emplace_back("Host", to.Text());
  all.emplace_back("Connection", "close");
  if (!channel.Write(RequestText(method, target, all, body)))
    return std::nullopt;
  auto answer = channel.Read(true, until);
  if (!answer || !answer->complete)
    return std::nullopt;
  return answer;
}

// One process of the system.
struct Process {
  std::string name;
  std::string role;
  std::string ip;
  std::string zone;
  std::string folder;
  pid_t pid = -1;
};

struct Options {
  int entries = 2;
  int controls = 3;
  int entry_memory_mb = 260;
  int config_apply_ms = 2000;
};

class Site {
 public:
  static constexpr int kControlPort = 8000;
  static constexpr int kEntryPort = 8005;
  static constexpr int kReadyPort = 8002;
  static constexpr int kServerPort = 8080;

  explicit Site(Options options = {}) : options_(options) {
    signal(SIGPIPE, SIG_IGN);
    folder_ = (std::filesystem::temp_directory_path() /
               ("endivecart-review-" + std::to_string(::getpid())))
                  .string();
    std::filesystem::create_directories(folder_);
    // A free part of the loopback range.
    for (int i = 0; i < 200; ++i) {
      const int net = 20 + (::getpid() + i * 37) % 200;
      const int part = (::getpid() / 200 + i) % 250;
      net_ = "127." + std::to_string(net) + "." + std::to_string(part) + ".";
      if (IsFree({Ip(1), kControlPort}) && IsFree({Ip(11), kEntryPort}))
        break;
    }
    for (int i = 0; i < options_.controls; ++i) {
      const std::string zone = ZoneOf(i);
      processes_.push_back({"core-" + zone + "-" + std::to_string(i + 1),
                            "control", Ip(1 + i), zone, "", -1});
    }
    for (int i = 0; i < options_.entries; ++i) {
      const std::string zone = ZoneOf(i);
      processes_.push_back({"frontend-" + zone + "-" + std::to_string(i + 1),
                            "entry", Ip(11 + i), zone, "", -1});
    }
  }
  ~Site() { Stop(); }
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  static std::string ZoneOf(int index) {
    return std::string("zone-") + static_cast<char>('a' + index % 3);
  }
  std::string Ip(int host) const { return net_ + std::to_string(host); }
  Address Control(int index) const { return {Ip(1 + index), kControlPort}; }
  Address Entry(int index) const { return {Ip(11 + index), kEntryPort}; }
  Address ServerAddress(int index) const {
    return {Ip(101 + index), kServerPort};
  }
  int entries() const { return options_.entries; }
  int controls() const { return options_.controls; }
  Process& ControlProcess(int index) {
    return processes_[static_cast<std::size_t>(index)];
  }
  Process& EntryProcess(int index) {
    return processes_[static_cast<std::size_t>(options_.controls + index)];
  }

  void StartAll() {
    for (Process& process : processes_) {
      process.folder = folder_ + "/" + process.name;
      std::filesystem::create_directories(process.folder);
      WriteSettings(process, true);
      Start(process);
    }
  }
  void Start(Process& process) {
    const std::string log = process.folder + "/log.txt";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("ENDIVECART_SETTINGS", (process.folder + "/boot.json").c_str(),
               1);
      ::execl("target/bin/endivecartd", "target/bin/endivecartd",
              process.role.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    process.pid = pid;
    record.Line("start %s pid %d", process.name.c_str(), static_cast<int>(pid));
  }
  void Signal(const Process& process, int number) {
    if (process.pid > 0)
      ::kill(process.pid, number);
  }
  void Kill(Process& process) {
    Signal(process, SIGKILL);
    if (process.pid > 0)
      ::waitpid(process.pid, nullptr, 0);
    process.pid = -1;
  }
  // Returns the end of the process, if it has ended.
  std::optional<int> Ended(Process& process) {
    int status = 0;
    if (process.pid > 0 && ::waitpid(process.pid, &status, WNOHANG) > 0) {
      process.pid = -1;
      return status;
    }
    return std::nullopt;
  }
  void Stop() {
    for (Process& process : processes_) {
      if (process.pid > 0) {
        ::kill(process.pid, SIGCONT);
        Kill(process);
      }
    }
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(folder_, ignored);
    }
  }
  const std::string& folder() const { return folder_; }

  // As platform/settings.json.template renders it.
  void WriteSettings(const Process& process, bool bootstrap) {
    const bool entry = process.role == "entry";
    std::string contacts;
    for (int i = 0; i < std::min(options_.controls, 3); ++i)
      contacts += (i ? "," : "") + ("\"" + Control(i).Text() + "\"");
    std::string listen;
    if (entry) {
      listen = "\"callers\": \"" + process.ip + ":8005\", \"ready\": \"" +
               process.ip + ":8002\", \"relay\": \"" + process.ip + ":7715\",";
    } else {
      listen = "\"operators\": \"" + process.ip + ":8000\",";
    }
    std::ofstream out(process.folder + "/boot.json.new");
    out << "{\n\"name\": \"" << process.name << "\", \"host\": \"" << process.ip
        << "\", \"domain\": \"" << process.zone
        << "\", \"region\": \"prairie-west\",\n\"regions\": "
           "{\"zone-a\":\"prairie-west\",\"zone-b\":\"prairie-west\",\"zone-"
           "c\":\"prairie-west\"},\n\"listen\": {"
        << listen << "\"metrics\": \"" << process.ip
        << ":9464\"},\n\"peer_port\": 7700, \"contacts\": [" << contacts
        << "],\n";
    if (!entry)
      out << "\"data_folder\": \"" << process.folder << "/data\",\n";
    out << "\"first_start\": " << (bootstrap ? "true" : "false")
        << ", \"memory_mb\": " << (entry ? options_.entry_memory_mb : 256)
        << ",\n\"bounds\": {\"announce_interval_ms\": 1200, \"retry_ratio\": "
           "0.2, \"retry_window_s\": 10, \"order_lease_ms\": 3000, "
           "\"weights_deadline_ms\": 10000, \"drain_time_ms\": 2000, "
           "\"stop_time_s\": 8, \"bad_version_share\": 0.1, "
           "\"roll_back_time_ms\": 5000, \"cold_overshoot\": 1.5, "
           "\"thaw_slack_ms\": 300}\n}\n";
    out.close();
    std::filesystem::rename(process.folder + "/boot.json.new",
                            process.folder + "/boot.json");
  }

  // A call of the operator: tries the nodes, follows a 307 twice, and sends the
  // same again until there is a clear answer.
  std::optional<Message> Operator(const std::string& method,
                                  const std::string& path,
                                  const std::string& body,
                                  long timeout_ms = 10000,
                                  int first = 0) {
    const long until = NowMs() + timeout_ms;
    for (int i = first; NowMs() < until; ++i) {
      Address to = Control(i % options_.controls);
      for (int hop = 0; hop < 3; ++hop) {
        const auto answer = Call(to, method, path,
                                 {{"Content-Type", "application/json"}}, body);
        if (!answer)
          break;
        if (answer->Status() == 307) {
          const std::string location = answer->Field("Location");
          const std::size_t colon = location.rfind(':');
          to = {location.substr(7, colon - 7),
                std::atoi(location.c_str() + colon + 1)};
          continue;
        }
        if (answer->Status() < 500 && answer->Status() != 408 &&
            answer->Status() != 429) {
          return answer;
        }
        break;
      }
      SleepMs(200);
    }
    return std::nullopt;
  }
  bool IsReady(int entry) const {
    const auto answer =
        Call({Ip(11 + entry), kReadyPort}, "GET", "/readyz", {}, "", 500);
    return answer && answer->Status() == 200;
  }
  bool WaitReady(long timeout_ms) {
    const long until = NowMs() + timeout_ms;
    while (NowMs() < until) {
      bool all = true;
      for (int i = 0; i < options_.entries; ++i)
        all = all && IsReady(i);
      if (all)
        return true;
      SleepMs(200);
    }
    return false;
  }

 private:
  static bool IsFree(const Address& address) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = ToSockaddr(address);
    const bool free =
        ::bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
    ::close(fd);
    return free;
  }

  const Options options_;
  std::string folder_;
  std::string net_;
  std::vector<Process> processes_;
};

// What a server was asked to run.
struct Run {
  std::string attempt;
  std::string path;
  std::string server;
  long at_ms = 0;
  bool answered = false;
};

// A server of the deployment: a plain service, or whatever `on_request` makes
// of it. It reports its status to the control nodes.
class Server {
 public:
  struct Spec {
    std::string id;
    std::string service;
    Address address;
    std::string zone;
    std::string version = "v1";
    int slots = 6;
    long work_ms = 30;
    std::string report_extra;  // further members of the status report
  };
  using Handler = std::function<void(Server&, Channel&, const Message&, Run&)>;

  Server(Site& site, Spec spec) : site_(site), spec_(std::move(spec)) {
    born_ = UnixMs();
  }
  ~Server() { Exit(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const Spec& spec() const { return spec_; }
  Handler on_request;  // instead of the usual answer
  std::function<void(Message&, std::string& extra_fields)> decorate;
  std::atomic<bool> reports{true};    // whether status reports reach the core
  std::atomic<bool> draining{false};  // as reported
  std::atomic<bool> leaving{false};   // as answers say
  std::atomic<long> drain_acked_ms{-1};
  std::atomic<int> running{0};

  bool Start() {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in own = ToSockaddr(spec_.address);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&own),
               sizeof own) != 0 ||
        ::listen(listener_, 256) != 0) {
      return false;
    }
    threads_.emplace_back([this] { Accept(); });
    threads_.emplace_back([this] { Report(); });
    record.Line("server %s of %s listens at %s", spec_.id.c_str(),
                spec_.service.c_str(), spec_.address.Text().c_str());
    return true;
  }
  // Ends as a process does: open channels are reset.
  void Exit() {
    if (exited_.exchange(true))
      return;
    record.Line("server %s ends", spec_.id.c_str());
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    {
      const std::scoped_lock lock(mutex_);
      for (const int fd : open_)
        ::shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& thread : threads_)
      thread.join();
    while (connections_ > 0)
      SleepMs(5);
  }
  bool exited() const { return exited_; }
  std::vector<Run> Runs() const {
    const std::scoped_lock lock(mutex_);
    return runs_;
  }
  std::string ReportBody() {
    return "{\"service\":\"" + spec_.service + "\",\"address\":\"" +
           spec_.address.Text() + "\",\"zone\":\"" + spec_.zone +
           "\",\"version\":\"" + spec_.version +
           "\",\"slots\":" + std::to_string(spec_.slots) + ",\"state\":\"" +
           (draining ? "draining" : "ready") +
           "\",\"cold_remaining_ms\":0,\"born\":" + std::to_string(born_) +
           ",\"sequence\":" + std::to_string(++sequence_) + spec_.report_extra +
           "}";
  }
  // Sends one status report now; returns whether it was acknowledged.
  bool ReportNow() {
    const bool was_draining = draining;
    const std::string body = ReportBody();
    for (int i = 0; i < site_.controls(); ++i) {
      const auto answer = Call(site_.Control((target_ + i) % site_.controls()),
                               "POST", "/Instances.Heartbeat/" + spec_.id,
                               {{"Content-Type", "application/json"}}, body);
      if (answer && answer->Status() / 100 == 2) {
        target_ = (target_ + i) % site_.controls();
        if (was_draining && drain_acked_ms < 0)
          drain_acked_ms = NowMs();
        return true;
      }
    }
    return false;
  }
  static std::string AnswerText(const Message& request,
                                int status,
                                const std::string& extra,
                                const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nX-Attempt-Id: " + request.Field("X-Attempt-Id") + "\r\n" +
           extra + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

 private:
  void Report() {
    while (!exited_) {
      if (reports)
        ReportNow();
      for (int i = 0; i < 60 && !exited_; ++i)
        SleepMs(20);
    }
  }
  void Accept() {
    while (!exited_) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (exited_)
          return;
        SleepMs(1);
        continue;
      }
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      {
        const std::scoped_lock lock(mutex_);
        open_.push_back(fd);
      }
      ++connections_;
      std::thread([this, fd] {
        Serve(fd);
        {
          const std::scoped_lock lock(mutex_);
          std::erase(open_, fd);
        }
        --connections_;
      }).detach();
    }
  }
  void Serve(int fd) {
    Channel channel(::dup(fd));
    ::close(fd);
    {
      const std::scoped_lock lock(mutex_);
      std::replace(open_.begin(), open_.end(), fd, channel.fd());
    }
    while (!exited_) {
      auto request = channel.Read(false, NowMs() + 60000);
      if (!request || !request->complete)
        break;
      if (!Answer(channel, *request))
        break;
    }
    const std::scoped_lock lock(mutex_);
    std::erase(open_, channel.fd());
  }
  bool Answer(Channel& channel, const Message& request) {
    const std::string target = request.Word(1);
    if (request.Word(0) == "GET" && target == "/healthz") {
      return channel.Write(
          "HTTP/1.1 " + std::string(draining ? "503 X" : "200 OK") +
          "\r\nX-Instance-Id: " + spec_.id + "\r\nContent-Length: 0\r\n\r\n");
    }
    const std::string expected = request.Field("X-Expected-Instance");
    if (!expected.empty() && expected != spec_.id) {
      return channel.Write(
          AnswerText(request, 421, "X-Not-Executed: 1\r\n", ""));
    }
    Run run{request.Field("X-Attempt-Id"), target, spec_.id, NowMs(), false};
    std::size_t index = 0;
    {
      const std::scoped_lock lock(mutex_);
      index = runs_.size();
      runs_.push_back(run);
    }
    record.Line("run %s %s at %s%s", run.attempt.c_str(), target.c_str(),
                spec_.id.c_str(), leaving ? " (leaving)" : "");
    ++running;
    bool ok = true;
    if (on_request) {
      on_request(*this, channel, request, run);
    } else {
      const long until = NowMs() + spec_.work_ms;
      while (NowMs() < until && !exited_)
        SleepMs(2);
      std::string extra =
          "X-Server-Signature: sig." + run.attempt + "." + spec_.id + "\r\n";
      if (leaving)
        extra += "Server-Leaving: 1\r\n";
      ok = !exited_ &&
           channel.Write(AnswerText(request, 200, extra,
                                    "done " + run.attempt + " by " + spec_.id));
      run.answered = ok;
    }
    --running;
    const std::scoped_lock lock(mutex_);
    runs_[index].answered = run.answered;
    return ok && channel.fd() >= 0;
  }

  Site& site_;
  const Spec spec_;
  long born_ = 0;
  std::atomic<long> sequence_{0};
  std::atomic<int> target_{0};
  int listener_ = -1;
  std::atomic<bool> exited_{false};
  std::atomic<int> connections_{0};
  mutable std::mutex mutex_;
  std::vector<int> open_;
  std::vector<Run> runs_;
  std::vector<std::thread> threads_;
};

// One client attempt and its end.
struct Attempt {
  std::string id;
  int entry = 0;
  long sent_ms = 0;
  long ended_ms = 0;
  int status = 0;  // 0: the channel ended, or nothing came in time
  std::string body;
  std::string signature;
  bool is_leaving = false;  // the answer has Server-Leaving
};

inline std::string NewAttemptId() {
  static std::atomic<unsigned> number{0};
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x",
                static_cast<unsigned>(::getpid()), ++number);
  return text;
}

// Sends one request on a new channel and waits for its end.
inline Attempt Send(const Site& site,
                    int entry,
                    const std::string& method,
                    const std::string& path,
                    const Fields& more,
                    const std::string& body,
                    long timeout_ms) {
  Attempt attempt;
  attempt.id = NewAttemptId();
  attempt.entry = entry;
  attempt.sent_ms = NowMs();
  Fields fields = {{"Host", "pule25.example"},
                   {"X-Attempt-Id", attempt.id},
                   {"X-Deadline-Ms", std::to_string(timeout_ms)}};
  fields.insert(fields.end(), more.begin(), more.end());
  Channel channel;
  if (channel.Connect(site.Entry(entry), 1000) &&
      channel.Write(RequestText(method, path, fields, body))) {
    const auto answer = channel.Read(true, NowMs() + timeout_ms + 1500);
    if (answer && answer->complete) {
      attempt.status = answer->Status();
      attempt.body = answer->body;
      attempt.signature = answer->Field("X-Server-Signature");
      attempt.is_leaving = answer->Has("Server-Leaving");
    }
  }
  attempt.ended_ms = NowMs();
  record.Line("client %s %s %s at entry %d sent %ld: %d %s", attempt.id.c_str(),
              method.c_str(), path.c_str(), entry, attempt.sent_ms,
              attempt.status, attempt.body.substr(0, 60).c_str());
  return attempt;
}

// A route of the manifest.
struct RouteSpec {
  std::string name;
  std::string prefix;
  std::string type;
  int timeout_ms = 1500;
  std::string service;
  int attempts = 1;
  std::string extra;  // further members
};

inline std::string Manifest(int version,
                            const std::vector<RouteSpec>& routes,
                            const std::vector<std::string>& services,
                            const std::string& extra_services = "") {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const RouteSpec& r = routes[i];
    text += std::string(i ? "," : "") + "{\"name\":\"" + r.name +
            "\",\"host\":\"pule25.example\",\"path_prefix\":\"" + r.prefix +
            "\",\"type\":\"" + r.type +
            "\",\"timeout_ms\":" + std::to_string(r.timeout_ms) +
            ",\"target_latency_ms\":150,\"priority\":1,\"service\":\"" +
            r.service + "\",\"attempts\":" + std::to_string(r.attempts) +
            ",\"public\":false" + r.extra + "}";
  }
  text += "],\"services\":[";
  for (std::size_t i = 0; i < services.size(); ++i) {
    text += std::string(i ? "," : "") + "{\"name\":\"" + services[i] +
            "\",\"health_path\":\"/healthz\",\"max_connections\":96,"
            "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_"
            "s\":0.0}";
  }
  text += extra_services;
  text +=
      "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  return text;
}

}  // namespace site

#endif  // REVIEW_SITE_2_HPP_
