// When the steps of a graceful shutdown begin, so that all of them end before
// the platform kills the process.

#ifndef AZUREPASS_DAEMONS_SHUTDOWN_PLAN_H_
#define AZUREPASS_DAEMONS_SHUTDOWN_PLAN_H_

#include "azurepass/core/core.h"

namespace azurepass::daemons {

// Times since the signal; each is at least the one before it.
struct ShutdownPlan {
  // Until then the balancer may still send new connections.
  Duration stop_listening{0};
  // Clients that keep their connections have had until then to send a request
  // and to learn from its answer that the process leaves. Whatever is open is
  // answered with what is known of it.
  Duration answer_all{0};
  // Until then answers are written. The process exits.
  Duration exit{0};
};

// `grace` is the time from the signal to the platform's kill, at least 0.
ShutdownPlan PlanShutdown(Duration grace);

}  // namespace azurepass::daemons

#endif  // AZUREPASS_DAEMONS_SHUTDOWN_PLAN_H_
