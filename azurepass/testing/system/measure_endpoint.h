// What control of the workers costs: endpoint::Clients in this process against
// stand-in workers, with nothing else going on.

#ifndef AZUREPASS_TESTING_SYSTEM_MEASURE_ENDPOINT_H_
#define AZUREPASS_TESTING_SYSTEM_MEASURE_ENDPOINT_H_

#include "azurepass/testing/system/cluster.h"

namespace azurepass::testing {

struct EndpointPoint {
  int opened = 0;
  // Of each worker, a second, as HTTP headers and bodies.
  double exchanges = 0;
  double failures = 0;  // Of the exchanges.
  double bytes_to_worker = 0;
  double bytes_from_worker = 0;
  // Milliseconds of processor time a second, all workers together.
  double client = 0;
  double workers = 0;     // Of the stand-in that serves all of them.
  double client_mib = 0;  // Grown since before the sessions were opened.
};

// The cluster holds the platform alone and was started. Its workers are dealt
// out to so many clients, all on one loop.
EndpointPoint MeasureEndpoint(Cluster& cluster, int clients);

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SYSTEM_MEASURE_ENDPOINT_H_
