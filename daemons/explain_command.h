#ifndef DAEMONS_EXPLAIN_COMMAND_H_
#define DAEMONS_EXPLAIN_COMMAND_H_

#include "command_line.h"

namespace command_line {

// explain REQUEST FILE...: prints what the hosts' logs tell of one request, in
// time order. A file's name, without folders and ending, stands for the host.
int Explain(const Arguments& arguments);

}  // namespace command_line

#endif  // DAEMONS_EXPLAIN_COMMAND_H_
