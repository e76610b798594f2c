// What system tests do to a cluster again and again: submit, wait, ask who owns
// a partition.

#ifndef AZUREPASS_TESTING_SYSTEM_SCENARIO_H_
#define AZUREPASS_TESTING_SYSTEM_SCENARIO_H_

#include <functional>
#include <string>

#include "azurepass/testing/system/checks.h"
#include "azurepass/testing/system/cluster.h"

namespace azurepass::testing {

// The clock of the workers' histories.
Duration Now();

// A batch job of one-slot tasks for the queue of Cluster::AddTeam.
nlohmann::json BatchJob(const std::string& request_id, int tasks,
                        Duration run_time, bool repeatable = true);

// Submits through the frontend until the job is acknowledged or `patience` has
// passed; every try is the same request. Empty: never acknowledged.
std::string Submit(Cluster& cluster, const std::string& key,
                   const nlohmann::json& job, Duration patience,
                   int frontend = 0);

// The job's document once it is final, or the last one seen in `patience`.
nlohmann::json AwaitFinal(Cluster& cluster, const std::string& key,
                          const std::string& job, Duration patience);

int Succeeded(const nlohmann::json& job);

// Asks now and then until `holds` or `patience` has passed.
bool Await(Duration patience, const std::function<bool()>& holds);

// The index of the scheduler that owns the partition; -1: nobody is known.
int OwnerOf(Cluster& cluster, const std::string& partition);

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SYSTEM_SCENARIO_H_
