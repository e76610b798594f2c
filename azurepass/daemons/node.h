// The node process: a frontend and a scheduler in one, on a platform whose
// services, queues and workers are found at run time.
//
//   platform::Front -------Event----> routing::Dispatcher --Call--> owners
//   entry::Server -------Incoming---> scheduling::Manager
//   configuration::Keeper -Update---> Dispatcher, Manager, Node
//   membership::Agent -----View-----> Dispatcher, Manager
//   platform::Registry ---Update----> Manager
//   scheduling::Manager --Request---> permit::Broker --> platform::Permits
//
// One loop: a node has a part of one processor, so that further threads would
// only add switches.

#ifndef AZUREPASS_DAEMONS_NODE_H_
#define AZUREPASS_DAEMONS_NODE_H_

#include <functional>
#include <memory>
#include <string>

#include "azurepass/settings/settings.h"
#include "azurepass/task/task.h"

namespace azurepass::daemons {

class Node {
 public:
  // Whoever calls runs the loop.
  Node(task::Loop& loop, const settings::NodeSettings& settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // The addresses that could not be listened on; empty when all is well.
  std::string not_listening() const;

  // Finishes what is open, hands its partitions over and leaves the cell; calls
  // `done` on the loop. Call on the loop, once.
  void Shutdown(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::daemons

#endif  // AZUREPASS_DAEMONS_NODE_H_
