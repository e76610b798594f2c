// What a process used so far, as the kernel counts it.

#ifndef AZUREPASS_TESTING_SYSTEM_PROCESS_USAGE_H_
#define AZUREPASS_TESTING_SYSTEM_PROCESS_USAGE_H_

#include <cstdint>
#include <string>

#include "azurepass/core/core.h"

namespace azurepass::testing {

struct ProcessUsage {
  Duration processor{0};       // User and system time, to the kernel's tick.
  int64_t resident_bytes = 0;  // Now.
};

// From /proc/ID; all zero when there is no such process. "self" is this one.
ProcessUsage ReadProcessUsage(const std::string& process_id);

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SYSTEM_PROCESS_USAGE_H_
