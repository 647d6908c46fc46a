#ifndef DAEMONS_FLEET_PROGRAMS_H_
#define DAEMONS_FLEET_PROGRAMS_H_

#include <string>

// Processes of a fleet on the users' platform. Each returns the exit status.
int RunEntry(const std::string& settings_file);
int RunControl(const std::string& settings_file);

#endif  // DAEMONS_FLEET_PROGRAMS_H_
