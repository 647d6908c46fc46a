// Stand-ins for clients, servers and the operator, and a small site of the
// project's own processes on loopback addresses. Used by the cases 11 to 15.
// Needs a POSIX system and the standard library only.

#ifndef REVIEW_SITE_3_HPP_
#define REVIEW_SITE_3_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point StartTime() {
  static const Clock::time_point start = Clock::now();
  return start;
}

// Milliseconds since the start of the test.
inline double NowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - StartTime())
      .count();
}

inline std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

inline void SleepMs(double ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void SleepUntil(double ms) {
  SleepMs(ms - NowMs());
}

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// record.txt in the folder of the case.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}

  void Line(const char* format, ...) {
    char text[1024];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    std::scoped_lock lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f ms  ", NowMs());
    out_ << time << text << '\n';
    out_.flush();
  }

  // Also on standard output.
  void Say(const std::string& text) {
    Line("%s", text.c_str());
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct Head {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (key.size() == name.size() &&
          std::equal(key.begin(), key.end(), name.begin(), [](char a, char b) {
            return std::tolower(static_cast<unsigned char>(a)) ==
                   std::tolower(static_cast<unsigned char>(b));
          }))
        return value;
    }
    return "";
  }
};

inline Head ParseHead(const std::string& text) {
  Head head;
  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (head.first_line.empty()) {
      head.first_line = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    auto begin = line.find_first_not_of(' ', colon + 1);
    head.fields.emplace_back(line.substr(0, colon), begin == std::string::npos
                                                        ? ""
                                                        : line.substr(begin));
  }
  return head;
}

// A blocking TCP connection with a read buffer.
class Channel {
 public:
  explicit Channel(int fd = -1) : fd_(fd) {}
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() { Close(); }

  bool Connect(const std::string& ip, int port, double timeout_ms) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
      pollfd wait{fd_, POLLOUT, 0};
      if (errno != EINPROGRESS ||
          ::poll(&wait, 1, static_cast<int>(timeout_ms)) <= 0)
        return false;
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0)
        return false;
    }
    SetOptions();
    return true;
  }
  void SetOptions() {
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  bool Write(const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
      const auto sent =
          ::send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (sent > 0) {
        done += static_cast<std::size_t>(sent);
        continue;
      }
      if (errno != EAGAIN && errno != EINTR)
        return false;
      pollfd wait{fd_, POLLOUT, 0};
      if (::poll(&wait, 1, 2000) <= 0)
        return false;
    }
    return true;
  }
  // Reads more into the buffer. Returns false at the end, on an error or when
  // `until_ms` has passed; `ended` tells the first two.
  bool Fill(double until_ms, bool* ended = nullptr) {
    if (ended != nullptr)
      *ended = false;
    while (true) {
      char bytes[16384];
      const auto got = ::recv(fd_, bytes, sizeof bytes, 0);
      if (got > 0) {
        buffer_.append(bytes, static_cast<std::size_t>(got));
        return true;
      }
      if (got == 0 || (errno != EAGAIN && errno != EINTR)) {
        if (ended != nullptr)
          *ended = true;
        return false;
      }
      const double left = until_ms - NowMs();
      if (left <= 0)
        return false;
      pollfd wait{fd_, POLLIN, 0};
      ::poll(&wait, 1, static_cast<int>(std::min(left + 1, 200.0)));
    }
  }
  // Whether the peer has closed or reset.
  bool PeerClosed() const {
    char byte = 0;
    const auto got = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
  }
  void Close(bool reset = false) {
    if (fd_ < 0)
      return;
    if (reset) {
      const linger now{1, 0};
      ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    ::close(fd_);
    fd_ = -1;
  }
  std::string& buffer() { return buffer_; }

 private:
  int fd_;
  std::string buffer_;
};

struct Answer {
  int status = 0;  // 0: none came
  Head head;
  std::string body;
  bool complete = false;
};

// Reads one response; understands a length, chunks, and the end of the channel.
inline Answer ReadAnswer(Channel& channel, double until_ms) {
  Answer answer;
  std::string& buffer = channel.buffer();
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!channel.Fill(until_ms))
      return answer;
  }
  answer.head = ParseHead(buffer.substr(0, end + 2));
  buffer.erase(0, end + 4);
  const auto space = answer.head.first_line.find(' ');
  answer.status = std::atoi(answer.head.first_line.c_str() + space);
  const std::string length = answer.head.Get("Content-Length");
  if (answer.head.Get("Transfer-Encoding") == "chunked") {
    while (true) {
      std::size_t line = 0;
      while ((line = buffer.find("\r\n")) == std::string::npos) {
        if (!channel.Fill(until_ms))
          return answer;
      }
      const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
      while (buffer.size() < line + 2 + size + 2) {
        if (!channel.Fill(until_ms))
          return answer;
      }
      answer.body += buffer.substr(line + 2, size);
      buffer.erase(0, line + 2 + size + 2);
      if (size == 0)
        break;
    }
  } else if (!length.empty()) {
    const auto size = std::strtoul(length.c_str(), nullptr, 10);
    while (buffer.size() < size) {
      if (!channel.Fill(until_ms))
        return answer;
    }
    answer.body = buffer.substr(0, size);
    buffer.erase(0, size);
  } else {
    bool ended = false;
    while (channel.Fill(until_ms, &ended)) {
    }
    answer.body = buffer;
    buffer.clear();
    if (!ended)
      return answer;
  }
  answer.complete = true;
  return answer;
}

inline std::string RequestText(
    const std::string& method,
    const std::string& target,
    const std::string& host,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body) {
  std::string text =
      method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
  for (const auto& [name, value] : fields)
    text += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// One call on a channel of its own.
inline Answer Call(
    const std::string& ip,
    int port,
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body,
    double timeout_ms,
    const std::string& host = "") {
  Channel channel;
  const double until = NowMs() + timeout_ms;
  if (!channel.Connect(ip, port, std::min(timeout_ms, 1000.0)))
    return {};
  const std::string name =
      host.empty() ? ip + ":" + std::to_string(port) : host;
  if (!channel.Write(RequestText(method, target, name, fields, body)))
    return {};
  return ReadAnswer(channel, until);
}

// A program of the system, as a process of its own.
class Process {
 public:
  Process(std::string role,
          std::string name,
          std::string settings_file,
          std::string log_file)
      : role_(std::move(role)),
        name_(std::move(name)),
        settings_(std::move(settings_file)),
        log_(std::move(log_file)) {}
  ~Process() { Kill(); }

  // As `run` in the deploy file has it.
  void Start() {
    const std::string variable = "ENDIVECART_SETTINGS=" + settings_;
    const std::string path =
        std::string("PATH=") +
        (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin");
    const int log =
        ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(log, 1);
      ::dup2(log, 2);
      const char* const args[] = {"target/bin/endivecartd", role_.c_str(),
                                  nullptr};
      const char* const environment[] = {variable.c_str(), path.c_str(),
                                         "LANG=C", "HOME=/tmp", nullptr};
      ::execve(args[0], const_cast<char* const*>(args),
               const_cast<char* const*>(environment));
      ::_exit(127);
    }
    ::close(log);
  }
  void Signal(int signal) const {
    if (pid_ > 0)
      ::kill(pid_, signal);
  }
  void Kill() {
    if (pid_ <= 0)
      return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  bool Runs() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
      pid_ = -1;
    return pid_ > 0;
  }
  const std::string& name() const { return name_; }

 private:
  const std::string role_;
  const std::string name_;
  const std::string settings_;
  const std::string log_;
  pid_t pid_ = -1;
};

// Ports that are the same on all machines.
constexpr int kFrontendPort = 8005;
constexpr int kReadyPort = 8002;
constexpr int kControlPort = 8000;
constexpr int kServerPort = 8080;

// Three core machines and six entry machines in three zones, as the sheets of
// the two small deployments have them.
class Site {
 public:
  explicit Site(Record& record) : record_(record) {
    char folder[] = "/tmp/review-3-XXXXXX";
    folder_ = ::mkdtemp(folder);
    std::mt19937 random(std::random_device{}());
    for (int i = 0; i < 100 && prefix_.empty(); ++i) {
      const std::string prefix = "127." + std::to_string(20 + random() % 200) +
                                 "." + std::to_string(random() % 250) + ".";
      if (IsFree(prefix))
        prefix_ = prefix;
    }
    for (int i = 0; i < 3; ++i)
      core_ips_.push_back(prefix_ + std::to_string(10 + i));
    for (int i = 0; i < 6; ++i)
      entry_ips_.push_back(prefix_ + std::to_string(20 + i));
  }
  ~Site() {
    for (auto* group : {&entries_, &cores_}) {
      for (auto& process : *group)
        process->Kill();
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
      std::filesystem::remove_all(folder_, ignored);
    else
      std::printf("logs: %s\n", folder_.c_str());
  }

  void Start() {
    for (int i = 0; i < 3; ++i) {
      cores_.push_back(MakeProcess("control", "core-" + Zone(i) + "-1",
                                   core_ips_[static_cast<std::size_t>(i)],
                                   Zone(i), true));
    }
    for (int i = 0; i < 6; ++i) {
      entries_.push_back(MakeProcess(
          "entry", "frontend-" + Zone(i % 3) + "-" + std::to_string(1 + i / 3),
          entry_ips_[static_cast<std::size_t>(i)], Zone(i % 3), false));
    }
    for (auto* group : {&cores_, &entries_}) {
      for (auto& process : *group)
        process->Start();
    }
  }

  // Sends an order to the core machines in turn until one acknowledges it.
  // Returns the status of the last answer, and which machine gave it.
  std::pair<int, int> Order(const std::string& method,
                            const std::string& path,
                            const std::string& body,
                            double timeout_ms = 8000,
                            std::string* answer_body = nullptr) {
    const double until = NowMs() + timeout_ms;
    std::vector<std::pair<std::string, std::string>> fields;
    if (!body.empty())
      fields.emplace_back("Content-Type", "application/json");
    int at = 0;
    int status = 0;
    while (NowMs() < until) {
      std::string ip = core_ips_[static_cast<std::size_t>(at)];
      int by = at;
      for (int hop = 0; hop < 3; ++hop) {
        const Answer answer =
            Call(ip, kControlPort, method, path, fields, body, 1000);
        status = answer.status;
        if (status != 307) {
          if (status >= 200 && status < 500 && status != 408 && status != 429) {
            record_.Line("%s %s: %d from %s", method.c_str(), path.c_str(),
                         status,
                         cores_[static_cast<std::size_t>(by)]->name().c_str());
            if (answer_body != nullptr)
              *answer_body = answer.body;
            return {status, by};
          }
          break;
        }
        const std::string location = answer.head.Get("Location");
        for (std::size_t i = 0; i < core_ips_.size(); ++i) {
          if (location.find("//" + core_ips_[i] + ":") != std::string::npos) {
            ip = core_ips_[i];
            by = static_cast<int>(i);
          }
        }
      }
      at = (at + 1) % 3;
      SleepMs(100);
    }
    return {status, -1};
  }

  // Waits until all entry machines say that they are ready.
  bool WaitReady(double timeout_ms) {
    const double until = NowMs() + timeout_ms;
    while (NowMs() < until) {
      const bool ready =
          std::all_of(entry_ips_.begin(), entry_ips_.end(), [](const auto& ip) {
            return Call(ip, kReadyPort, "GET", "/readyz", {}, "", 500).status ==
                   200;
          });
      if (ready)
        return true;
      SleepMs(100);
    }
    return false;
  }

  static std::string Zone(int i) {
    static const char* const kZones[] = {"zone-a", "zone-b", "zone-c"};
    return kZones[i % 3];
  }
  std::string ServerIp(int i) const {
    return prefix_ + std::to_string(100 + i);
  }
  bool usable() const { return !prefix_.empty(); }
  Process& core(int i) { return *cores_[static_cast<std::size_t>(i)]; }
  Process& entry(int i) { return *entries_[static_cast<std::size_t>(i)]; }
  const std::vector<std::string>& core_ips() const { return core_ips_; }
  const std::vector<std::string>& entry_ips() const { return entry_ips_; }

 private:
  static bool IsFree(const std::string& prefix) {
    for (const auto& [host, port] :
         std::vector<std::pair<int, int>>{{10, kControlPort},
                                          {10, 9464},
                                          {20, kFrontendPort},
                                          {20, 9464},
                                          {20, kReadyPort},
                                          {10, 7700},
                                          {100, kServerPort}}) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<std::uint16_t>(port));
      inet_pton(AF_INET, (prefix + std::to_string(host)).c_str(),
                &address.sin_addr);
      const bool bound = ::bind(fd, reinterpret_cast<sockaddr*>(&address),
                                sizeof address) == 0;
      ::close(fd);
      if (!bound)
        return false;
    }
    return true;
  }

  // The settings that platform/settings.json.template gives for the settings
  // of the sheets (wdhn-orders, cdp-permisos).
  std::unique_ptr<Process> MakeProcess(const std::string& role,
                                       const std::string& name,
                                       const std::string& ip,
                                       const std::string& zone,
                                       bool is_core) {
    const std::string file = folder_ + "/" + name + ".json";
    const std::string data = folder_ + "/" + name + "-data";
    std::ofstream out(file);
    out << "{\n\"name\":\"" << name << "\",\"host\":\"" << ip
        << "\",\"domain\":\"" << zone
        << "\",\"region\":\"prairie-west\",\"regions\":{\"zone-a\":"
           "\"prairie-west\",\"zone-b\":\"prairie-west\",\"zone-c\":"
           "\"prairie-west\"},\n\"listen\":{";
    if (is_core) {
      out << "\"operators\":\"" << ip << ":" << kControlPort << "\",";
    } else {
      out << "\"callers\":\"" << ip << ":" << kFrontendPort << "\",\"ready\":\""
          << ip << ":" << kReadyPort << "\",\"relay\":\"" << ip << ":7715\",";
    }
    out << "\"metrics\":\"" << ip << ":9464\"},\n\"peer_port\":7700,"
        << "\"contacts\":[";
    for (std::size_t i = 0; i < core_ips_.size(); ++i)
      out << (i > 0 ? "," : "") << "\"" << core_ips_[i] << ":" << kControlPort
          << "\"";
    out << "],";
    if (is_core) {
      std::filesystem::create_directories(data);
      out << "\"data_folder\":\"" << data << "\",";
    }
    out << "\"first_start\":true,\"memory_mb\":" << (is_core ? 256 : 260)
        << ",\n\"bounds\":{\"fencing_required\":false,\"thaw_slack_ms\":300,"
           "\"announce_interval_ms\":1200,\"retry_ratio\":0.2,"
           "\"retry_window_s\":10,\"order_lease_ms\":3000,"
           "\"weights_deadline_ms\":10000,\"drain_time_ms\":2000,"
           "\"stop_time_s\":8,\"bad_version_share\":0.1,"
           "\"roll_back_time_ms\":5000,\"cold_overshoot\":1.5}}\n";
    return std::make_unique<Process>(role, name, file,
                                     folder_ + "/" + name + ".log");
  }

  Record& record_;
  std::string folder_;
  std::string prefix_;
  std::vector<std::string> core_ips_;
  std::vector<std::string> entry_ips_;
  std::vector<std::unique_ptr<Process>> cores_;
  std::vector<std::unique_ptr<Process>> entries_;
};

// What a server does with a request that it runs.
struct Work {
  double ms = 20;
  int status = 200;
};

struct Arrival {
  double at_ms = 0;
  std::string attempt;
  std::string outcome;  // run, full, other_instance, no_id, down
};

// A server as the pages have it: it announces itself, runs `slots` requests at
// once and lets a few more wait.
class Server {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string ip;
    std::string zone;
    std::string version = "v1";
    int slots = 6;
    int queue = 24;
    std::function<int()> queue_now;  // instead of `queue`
    std::function<Work(const std::string& target)> work;
    // Further fields of all its answers.
    std::function<std::vector<std::pair<std::string, std::string>>()> fields;
    // Called for each arrival, before it is run.
    std::function<void(const Arrival&)> on_arrival;
    // Answers with a stream of one event.
    bool streams = false;
    // Called when it begins to write an answer.
    std::function<void(const Head&)> on_begin;
  };

  Server(Options options, std::vector<std::string> core_ips, Record& record)
      : options_(std::move(options)),
        core_ips_(std::move(core_ips)),
        record_(record),
        id_(options_.id) {}
  ~Server() { Stop(); }

  bool Start() {
    born_ = UnixMs();
    sequence_ = 0;
    if (!Listen())
      return false;
    announcing_ = true;
    stopping_ = false;
    acceptor_ = std::thread([this] { AcceptLoop(); });
    announcer_ = std::thread([this] { AnnounceLoop(); });
    return true;
  }
  void Stop() {
    stopping_ = true;
    announcing_ = false;
    wake_.notify_all();
    if (acceptor_.joinable())
      acceptor_.join();
    if (announcer_.joinable())
      announcer_.join();
    ResetChannels();
    while (channels_ > 0)
      SleepMs(5);
  }
  // Ends all channels, as a process that ends does, and takes none until
  // Return().
  void Fall() {
    is_down_ = true;
    announcing_ = false;
    ++generation_;
  }
  // A new incarnation at the same address.
  void Return(const std::string& id) {
    {
      std::scoped_lock lock(mutex_);
      id_ = id;
      running_ = 0;
      waiting_ = 0;
    }
    born_ = UnixMs();
    sequence_ = 0;
    is_down_ = false;
    announcing_ = true;
    announce_now_ = true;
    wake_.notify_all();
  }
  void ResetChannels() { ++generation_; }

  // Sends a status report now; the next one follows after a whole interval.
  bool AnnounceNow() {
    const bool acknowledged = Announce();
    last_announced_ms_ = NowMs();
    return acknowledged;
  }
  void StopAnnouncing() { announcing_ = false; }
  void SetState(const std::string& state) {
    std::scoped_lock lock(mutex_);
    state_ = state;
  }
  void BecomeCold(double ms) { cold_until_ms_ = NowMs() + ms; }
  bool IsCold() const { return NowMs() < cold_until_ms_; }
  std::uint64_t born() const { return born_; }
  std::string id() const {
    std::scoped_lock lock(mutex_);
    return id_;
  }
  const std::string& ip() const { return options_.ip; }
  double last_announced_ms() const { return last_announced_ms_; }
  std::string address() const {
    return options_.ip + ":" + std::to_string(kServerPort);
  }
  std::vector<Arrival> arrivals() const {
    std::scoped_lock lock(mutex_);
    return arrivals_;
  }

 private:
  bool Listen() {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kServerPort);
    inet_pton(AF_INET, options_.ip.c_str(), &address.sin_addr);
    return ::bind(listener_, reinterpret_cast<sockaddr*>(&address),
                  sizeof address) == 0 &&
           ::listen(listener_, 512) == 0;
  }

  void AcceptLoop() {
    bool listening = true;
    while (!stopping_) {
      // A process that is down has no listener.
      if (is_down_ && listening) {
        ::close(listener_);
        listening = false;
      } else if (!is_down_ && !listening) {
        listening = Listen();
      }
      if (!listening) {
        SleepMs(5);
        continue;
      }
      pollfd wait{listener_, POLLIN, 0};
      if (::poll(&wait, 1, 5) <= 0)
        continue;
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      ++channels_;
      std::thread([this, fd, generation = generation_.load()] {
        Serve(fd, generation);
        --channels_;
      }).detach();
    }
    if (listening)
      ::close(listener_);
  }

  void Serve(int fd, int generation) {
    Channel channel(fd);
    channel.SetOptions();
    std::string& buffer = channel.buffer();
    const double idle_ms = 15000;
    double until = NowMs() + idle_ms;
    while (generation == generation_ && !stopping_) {
      const std::size_t end = buffer.find("\r\n\r\n");
      if (end == std::string::npos) {
        bool ended = false;
        channel.Fill(NowMs() + 20, &ended);
        if (ended || NowMs() > until)
          return;
        continue;
      }
      const Head head = ParseHead(buffer.substr(0, end + 2));
      const auto length =
          std::strtoul(head.Get("Content-Length").c_str(), nullptr, 10);
      if (buffer.size() < end + 4 + length) {
        bool ended = false;
        channel.Fill(NowMs() + 20, &ended);
        if (ended)
          return;
        continue;
      }
      buffer.erase(0, end + 4 + length);
      if (!Handle(channel, head, generation))
        return;
      until = NowMs() + idle_ms;
    }
    channel.Close(true);
  }

  void Reply(Channel& channel,
             int status,
             const std::string& attempt,
             bool not_run,
             const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    if (!attempt.empty())
      text += "X-Attempt-Id: " + attempt + "\r\n";
    if (not_run) {
      text += "X-Not-Executed: 1\r\n";
    } else {
      text += "X-Server-Signature: " + id() + "." + attempt + "\r\n";
    }
    if (options_.fields) {
      for (const auto& [name, value] : options_.fields())
        text += name + ": " + value + "\r\n";
    }
    text += "Keep-Alive: timeout=15\r\nContent-Type: ";
    text +=
        options_.streams && status == 200 ? "text/event-stream" : "text/plain";
    text += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body;
    channel.Write(text);
  }

  // Returns false if the channel ends.
  bool Handle(Channel& channel, const Head& head, int generation) {
    std::istringstream first(head.first_line);
    std::string method;
    std::string target;
    first >> method >> target;
    if (target == "/healthz") {
      Reply(channel, 200, "", false, "ok");
      return true;
    }
    Arrival arrival{NowMs(), head.Get("X-Attempt-Id"), "run"};
    const std::string expected = head.Get("X-Expected-Instance");
    bool waits = false;
    {
      std::scoped_lock lock(mutex_);
      if (!expected.empty() && expected != id_) {
        arrival.outcome = "other_instance";
      } else if (arrival.attempt.empty()) {
        arrival.outcome = "no_id";
      } else if (running_ >= options_.slots &&
                 waiting_ >= (options_.queue_now ? options_.queue_now()
                                                 : options_.queue)) {
        arrival.outcome = "full";
      } else if (running_ >= options_.slots) {
        ++waiting_;
        waits = true;
      } else {
        ++running_;
      }
      arrivals_.push_back(arrival);
    }
    if (options_.on_arrival)
      options_.on_arrival(arrival);
    if (generation != generation_)
      return false;
    if (arrival.outcome != "run") {
      record_.Line("server %s: %s %s", id().c_str(), arrival.attempt.c_str(),
                   arrival.outcome.c_str());
      const int status = arrival.outcome == "other_instance" ? 421
                         : arrival.outcome == "no_id"        ? 400
                                                             : 503;
      Reply(channel, status, arrival.attempt, true, arrival.outcome);
      return true;
    }
    while (waits) {
      SleepMs(1);
      std::scoped_lock lock(mutex_);
      if (generation != generation_)
        return false;
      if (channel.PeerClosed()) {
        --waiting_;
        return false;
      }
      if (running_ < options_.slots) {
        --waiting_;
        ++running_;
        waits = false;
      }
    }
    record_.Line("server %s: runs %s", id().c_str(), arrival.attempt.c_str());
    const Work work = options_.work ? options_.work(target) : Work();
    const double done = NowMs() + work.ms;
    bool left = false;
    while (NowMs() < done && generation == generation_ && !left) {
      SleepMs(std::min(5.0, done - NowMs()));
      left = channel.PeerClosed();
    }
    {
      std::scoped_lock lock(mutex_);
      if (generation != generation_) {
        record_.Line("server %s: run of %s is lost", options_.id.c_str(),
                     arrival.attempt.c_str());
        channel.Close(true);
        return false;
      }
      --running_;
    }
    if (left)
      return false;
    if (options_.on_begin)
      options_.on_begin(head);
    if (generation != generation_) {
      channel.Close(true);
      return false;
    }
    Reply(channel, work.status, arrival.attempt, false,
          options_.streams ? "id: 1\ndata: " + arrival.attempt + "\n\n"
                           : "done " + arrival.attempt);
    return true;
  }

  void AnnounceLoop() {
    while (!stopping_) {
      if (announcing_ && !is_down_ &&
          (announce_now_.exchange(false) ||
           NowMs() - last_announced_ms_ >= 1200)) {
        last_announced_ms_ = NowMs();
        Announce();
      }
      std::unique_lock lock(wake_mutex_);
      wake_.wait_for(lock, std::chrono::milliseconds(10));
    }
  }

  // To the core machines in turn, until one acknowledges it.
  bool Announce() {
    std::string state;
    std::string id;
    {
      std::scoped_lock lock(mutex_);
      state = state_;
      id = id_;
    }
    const double cold = std::max(0.0, cold_until_ms_ - NowMs());
    std::ostringstream body;
    body << "{\"service\":\"" << options_.service << "\",\"address\":\""
         << address() << "\",\"zone\":\"" << options_.zone
         << "\",\"version\":\"" << options_.version
         << "\",\"slots\":" << options_.slots << ",\"state\":\"" << state
         << "\",\"cold_remaining_ms\":" << static_cast<int>(cold)
         << ",\"sequence\":" << ++sequence_ << ",\"born\":" << born_ << "}";
    for (std::size_t i = 0; i < core_ips_.size(); ++i) {
      const auto at = (next_core_ + i) % core_ips_.size();
      const int status =
          Call(core_ips_[at], kControlPort, "POST",
               "/Instances.Heartbeat/" + id,
               {{"Content-Type", "application/json"}}, body.str(), 1000)
              .status;
      if (status >= 200 && status < 300) {
        next_core_ = at;
        return true;
      }
    }
    return false;
  }

  const Options options_;
  const std::vector<std::string> core_ips_;
  Record& record_;
  mutable std::mutex mutex_;
  std::string id_;
  std::string state_ = "ready";
  int running_ = 0;
  int waiting_ = 0;
  std::vector<Arrival> arrivals_;
  std::atomic<std::uint64_t> born_{0};
  std::atomic<std::uint64_t> sequence_{0};
  std::atomic<double> cold_until_ms_{0};
  std::atomic<double> last_announced_ms_{-10000};
  std::atomic<bool> announce_now_{false};
  std::size_t next_core_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> announcing_{false};
  std::atomic<bool> is_down_{false};
  std::atomic<int> generation_{0};
  std::atomic<int> channels_{0};
  std::mutex wake_mutex_;
  std::condition_variable wake_;
  std::thread acceptor_;
  std::thread announcer_;
};

struct Outcome {
  std::string attempt;
  std::string target;
  int entry = 0;
  double sent_ms = 0;
  double ended_ms = 0;
  int status = 0;  // 0: the channel ended without an answer
};

// Clients: each request is an attempt of its own on a channel of its own, sent
// to the entry machines in turn.
class Clients {
 public:
  Clients(const Site& site, std::string host, Record& record)
      : site_(site), host_(std::move(host)), record_(record) {
    std::mt19937_64 random(std::random_device{}());
    char text[32];
    std::snprintf(text, sizeof text, "%08x",
                  static_cast<unsigned>(random() & 0xffffffff));
    prefix_ = text;
  }
  ~Clients() { Join(); }

  std::string Send(
      const std::string& method,
      const std::string& target,
      double deadline_ms,
      int entry = -1,
      const std::vector<std::pair<std::string, std::string>>& fields = {}) {
    const int number = next_++;
    const int to = entry >= 0 ? entry : number % 6;
    char text[48];
    std::snprintf(text, sizeof text, "%s%08x", prefix_.c_str(),
                  static_cast<unsigned>(number));
    const std::string attempt = text;
    ++under_way_;
    std::thread([this, method, target, deadline_ms, to, attempt, fields] {
      Outcome outcome{attempt, target, to, NowMs(), 0, 0};
      record_.Line("client: %s %s %s to %s", attempt.c_str(), method.c_str(),
                   target.c_str(),
                   site_.entry_ips()[static_cast<std::size_t>(to)].c_str());
      std::vector<std::pair<std::string, std::string>> all = {
          {"X-Attempt-Id", attempt},
          {"X-Deadline-Ms", std::to_string(static_cast<int>(deadline_ms))}};
      all.insert(all.end(), fields.begin(), fields.end());
      const Answer answer =
          Call(site_.entry_ips()[static_cast<std::size_t>(to)], kFrontendPort,
               method, target, all, method == "POST" ? "order " + attempt : "",
               deadline_ms + 500, host_);
      outcome.ended_ms = NowMs();
      outcome.status = answer.complete ? answer.status : 0;
      record_.Line("client: %s ended with %d", attempt.c_str(), outcome.status);
      {
        std::scoped_lock lock(mutex_);
        outcomes_.push_back(outcome);
      }
      --under_way_;
    }).detach();
    return attempt;
  }
  // Sends `per_s` requests a second, evenly, for `for_ms`.
  void SendEvenly(double per_s,
                  double for_ms,
                  const std::function<void()>& send) const {
    const double begin = NowMs();
    for (int i = 0; i * 1000.0 / per_s < for_ms; ++i) {
      SleepUntil(begin + i * 1000.0 / per_s);
      send();
    }
    SleepUntil(begin + for_ms);
  }
  void Join() const {
    while (under_way_ > 0)
      SleepMs(10);
  }
  std::vector<Outcome> outcomes() const {
    std::scoped_lock lock(mutex_);
    return outcomes_;
  }
  std::map<std::string, double> SentTimes() const {
    std::map<std::string, double> times;
    for (const Outcome& outcome : outcomes())
      times[outcome.attempt] = outcome.sent_ms;
    return times;
  }
  // Counts of the statuses of requests that were sent in a span.
  std::string Statuses(double from_ms, double to_ms) const {
    std::map<int, int> counts;
    for (const Outcome& outcome : outcomes()) {
      if (outcome.sent_ms >= from_ms && outcome.sent_ms < to_ms)
        ++counts[outcome.status];
    }
    std::string text;
    for (const auto& [status, count] : counts)
      text += (text.empty() ? "" : ", ") + std::to_string(status) + ": " +
              std::to_string(count);
    return text;
  }

 private:
  const Site& site_;
  const std::string host_;
  Record& record_;
  std::string prefix_;
  std::atomic<int> next_{0};
  std::atomic<int> under_way_{0};
  mutable std::mutex mutex_;
  std::vector<Outcome> outcomes_;
};

// A manifest with one service and its routes; each route is given as JSON
// without its service.
inline std::string Manifest(int version,
                            const std::string& service,
                            const std::vector<std::string>& routes,
                            double cold_start_s = 0,
                            double cold_per_s = 0) {
  std::ostringstream out;
  out << "{\"version\":" << version << ",\"routes\":[";
  for (std::size_t i = 0; i < routes.size(); ++i)
    out << (i > 0 ? "," : "") << "{\"service\":\"" << service << "\","
        << routes[i] << "}";
  out << "],\"services\":[{\"name\":\"" << service
      << "\",\"health_path\":\"/healthz\",\"max_connections\":96,"
         "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":"
      << cold_start_s << ",\"cold_per_s\":" << cold_per_s
      << "}],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}}";
  return out.str();
}

inline std::string Route(const std::string& name,
                         const std::string& prefix,
                         const std::string& type,
                         int timeout_ms,
                         int attempts) {
  return "\"name\":\"" + name + "\",\"host\":\"shop.example\"," +
         "\"path_prefix\":\"" + prefix + "\",\"type\":\"" + type +
         "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
         ",\"target_latency_ms\":150,\"priority\":2,\"attempts\":" +
         std::to_string(attempts) +
         ",\"public\":true,\"sticky\":false,\"resumable\":false,"
         "\"gap_target_ms\":0";
}

// Whether the case is run with its disruption.
inline bool WithTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace review

#endif  // REVIEW_SITE_3_HPP_
