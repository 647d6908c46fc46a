#ifndef DAEMONS_COMMAND_LINE_H_
#define DAEMONS_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace command_line {

inline constexpr int kOk = 0;
inline constexpr int kFailure = 1;     // the operation failed
inline constexpr int kUsageError = 2;  // invalid command or input
inline constexpr int kConflict = 3;    // another change was accepted first
inline constexpr int kUnknown = 4;     // the outcome is unknown: retry

// The command line.
struct Arguments {
  std::vector<std::string> words;      // command and operands
  std::vector<std::string> operators;  // base URLs
  std::string token;
  bool json = false;
  bool wait = false;
  std::string change_id;
  std::string author;
  std::string expect_revision;  // empty: the current one
  std::string deadline;
  std::string route;
  int timeout_s = 30;
};

// Runs one command; prints results to standard output and errors to standard
// error; returns the exit status.
int RunCommand(const Arguments& arguments);

}  // namespace command_line

#endif  // DAEMONS_COMMAND_LINE_H_
