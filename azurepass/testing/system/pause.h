// Lets time pass on a thread of a system test.

#ifndef AZUREPASS_TESTING_SYSTEM_PAUSE_H_
#define AZUREPASS_TESTING_SYSTEM_PAUSE_H_

#include "azurepass/core/core.h"

namespace azurepass::testing {

// Waits in GLib's poll; nothing spins.
void Pause(Duration time);

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SYSTEM_PAUSE_H_
