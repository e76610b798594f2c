// The frontend process: what its tasks are and how they are wired, and its
// graceful shutdown.
//
//   caller::Server ------Event------> routing::Dispatcher --Call--> schedulers
//   operators::Server ---CellCall---> routing::Dispatcher
//   operators::Server ---Call-------> operators::ConfigurationWriter --> store
//   configuration::Keeper --Update--> Dispatcher, FrontendDesk
//   membership::Agent -----View-----> Dispatcher, FrontendDesk
//   entry::Server -------Incoming---> FrontendDesk
//
// Two loops: one serves HTTP, the other all else, so that a flood of requests
// does not delay the watch of the configuration.

#ifndef AZUREPASS_DAEMONS_FRONTEND_H_
#define AZUREPASS_DAEMONS_FRONTEND_H_

#include <functional>
#include <memory>
#include <string>

#include "azurepass/daemons/process.h"
#include "azurepass/task/task.h"

namespace azurepass::daemons {

struct FrontendOptions {
  // Between the first "no" of /readyz and the end of listening: time for the
  // balancer to look elsewhere.
  Duration leave_delay{2'000};
  // What is open after that is answered with what is known of it.
  Duration drain_timeout{20'000};
};

class Frontend {
 public:
  // `loop` is for all but HTTP; whoever calls runs it.
  Frontend(task::Loop& loop, const AllSettings& settings,
           FrontendOptions options);
  ~Frontend();
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  // Empty where listening failed.
  std::string callers_on() const;
  std::string operators_on() const;  // Empty, too, when not configured.
  std::string entry_on() const;

  // True when all that is configured listens.
  bool listening() const;

  // Finishes what is open and leaves the cell; calls `done` on the loop. Call
  // on the loop, once.
  void Shutdown(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::daemons

#endif  // AZUREPASS_DAEMONS_FRONTEND_H_
