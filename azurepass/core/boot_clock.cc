// The clock behind MonotonicTime.

#include <ctime>

#include "azurepass/core/core.h"

namespace azurepass {

BootClock::time_point BootClock::now() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) +
                    std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace azurepass
