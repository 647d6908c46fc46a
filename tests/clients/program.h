#ifndef TESTS_CLIENTS_PROGRAM_H_
#define TESTS_CLIENTS_PROGRAM_H_

#include <sys/types.h>

#include <cstddef>
#include <filesystem>
#include <string>

namespace tests {

// What one process holds at a moment.
struct Holdings {
  std::size_t memory_bytes = 0;  // resident, and unread or unsent in the kernel
  std::size_t descriptors = 0;
};

// A running endivecartd. The destructor kills it.
class Program {
 public:
  // `max_descriptors` becomes the process's RLIMIT_NOFILE.
  Program(const std::string& role,
          const std::filesystem::path& settings_file,
          const std::filesystem::path& log_file,
          int max_descriptors);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  bool IsRunning();
  // `address` is the IPv4 address of all its sockets.
  Holdings Measure(const std::string& address) const;
  // Highest resident memory since the start.
  std::size_t PeakBytes() const;

 private:
  std::size_t StatusBytes(const std::string& key) const;

  pid_t pid_ = 0;
  bool running_ = true;
};

}  // namespace tests

#endif  // TESTS_CLIENTS_PROGRAM_H_
