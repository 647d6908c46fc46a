#ifndef DAEMONS_FLEET_PROGRAMS_H_
#define DAEMONS_FLEET_PROGRAMS_H_

#include <string>

// Run the processes of a fleet on the platform; return the exit status.
int RunEntry(const std::string& settings_file);
int RunControl(const std::string& settings_file);

#endif  // DAEMONS_FLEET_PROGRAMS_H_
