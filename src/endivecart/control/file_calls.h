#ifndef ENDIVECART_CONTROL_FILE_CALLS_H_
#define ENDIVECART_CONTROL_FILE_CALLS_H_

#include <sys/types.h>
#include <unistd.h>

#include <cstddef>
#include <cstdio>
#include <functional>

namespace endivecart::control {

// The system calls that a full or failing disk may refuse. They return -1 and
// set errno on failure.
struct FileCalls {
  std::function<ssize_t(int, const void*, std::size_t)> write = ::write;
  std::function<int(int)> sync_data = ::fdatasync;
  std::function<int(int)> sync_file = ::fsync;
  std::function<int(int)> sync_folder = ::fsync;
  std::function<int(int, off_t)> truncate = ::ftruncate;
  std::function<int(const char*, const char*)> rename = std::rename;
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_FILE_CALLS_H_
