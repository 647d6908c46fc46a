#ifndef DAEMONS_EXPLAIN_COMMAND_H_
#define DAEMONS_EXPLAIN_COMMAND_H_

#include "command_line.h"

namespace command_line {

// explain REQUEST FILE...: prints the log lines about a request, sorted by
// time. The host is named by the file name without folder and extension.
int Explain(const Arguments& arguments);

}  // namespace command_line

#endif  // DAEMONS_EXPLAIN_COMMAND_H_
