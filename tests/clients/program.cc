#include "clients/program.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace tests {

namespace {

constexpr std::size_t kBytesPerKb = 1024;

// Returns the bytes that the kernel holds for sockets with this local address.
std::size_t KernelBytes(const std::string& address) {
  in_addr parsed{};
  inet_pton(AF_INET, address.c_str(), &parsed);
  char local[16];
  std::snprintf(local, sizeof local, "%08X:", parsed.s_addr);
  std::ifstream in("/proc/net/tcp");
  std::string line;
  std::size_t sum = 0;
  while (std::getline(in, line)) {
    std::istringstream words(line);
    std::string slot;
    std::string from;
    std::string to;
    std::string state;
    std::string queues;
    words >> slot >> from >> to >> state >> queues;
    constexpr char kListen[] = "0A";  // its queue counts connections
    unsigned sent = 0;
    unsigned received = 0;
    if (from.rfind(local, 0) == 0 && state != kListen &&
        std::sscanf(queues.c_str(), "%x:%x", &sent, &received) == 2) {
      sum += sent + received;
    }
  }
  return sum;
}

}  // namespace

Program::Program(const std::string& role,
                 const std::filesystem::path& settings_file,
                 const std::filesystem::path& log_file,
                 int max_descriptors) {
  const std::string program = std::string(ENDIVECART_BIN_DIR) + "/endivecartd";
  const std::string settings = settings_file.string();
  const std::string log = log_file.string();
  pid_ = fork();
  if (pid_ < 0)
    throw std::runtime_error("cannot start a process");
  if (pid_ > 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const rlimit limit{static_cast<rlim_t>(max_descriptors),
                     static_cast<rlim_t>(max_descriptors)};
  setrlimit(RLIMIT_NOFILE, &limit);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execl(program.c_str(), program.c_str(), role.c_str(), "--settings",
        settings.c_str(), nullptr);
  _exit(127);
}

Program::~Program() {
  if (IsRunning()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

bool Program::IsRunning() {
  if (running_ && waitpid(pid_, nullptr, WNOHANG) == pid_)
    running_ = false;
  return running_;
}

Holdings Program::Measure(const std::string& address) const {
  Holdings out;
  out.memory_bytes = StatusBytes("VmRSS:") + KernelBytes(address);
  std::error_code ended;
  for (std::filesystem::directory_iterator it(
           "/proc/" + std::to_string(pid_) + "/fd", ended);
       !ended && it != std::filesystem::directory_iterator();
       it.increment(ended)) {
    ++out.descriptors;
  }
  return out;
}

std::size_t Program::PeakBytes() const {
  return StatusBytes("VmHWM:");
}

std::size_t Program::StatusBytes(const std::string& key) const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind(key, 0) == 0) {
      return kBytesPerKb *
             std::strtoull(line.c_str() + key.size(), nullptr, 10);
    }
  }
  return 0;
}

}  // namespace tests
