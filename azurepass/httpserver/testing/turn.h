// Running a loop in a test until something holds.

#ifndef AZUREPASS_HTTPSERVER_TESTING_TURN_H_
#define AZUREPASS_HTTPSERVER_TESTING_TURN_H_

#include <chrono>
#include <string>

#include "azurepass/httpserver/testing/raw_client.h"
#include "azurepass/task/task.h"

namespace azurepass::httpserver::testing {

// Runs the loop on this thread until `done`; false after 30 seconds.
template <class Done>
bool TurnUntil(task::Loop& loop, Done done) {
  const auto until = BootClock::now() + std::chrono::seconds(30);
  task::Timer tick(loop);
  tick.Every(Duration(2), [] {});
  g_main_context_push_thread_default(loop.context());
  while (!done() && BootClock::now() < until) {
    g_main_context_iteration(loop.context(), TRUE);
  }
  g_main_context_pop_thread_default(loop.context());
  return done();
}

// Sends bytes on a connection of their own; returns all that comes back.
inline std::string Exchange(task::Loop& loop, const std::string& address,
                            const std::string& bytes) {
  RawClient client(address);
  client.Send(bytes);
  TurnUntil(loop, [&] { return client.Finished(); });
  return client.received();
}

// One HTTP request on a connection of its own; returns the whole response.
inline std::string Ask(task::Loop& loop, const std::string& address,
                       const std::string& start, const std::string& key,
                       const std::string& body = "") {
  std::string bytes = start + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
  if (!key.empty()) bytes += "Authorization: Bearer " + key + "\r\n";
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return Exchange(loop, address, bytes);
}

}  // namespace azurepass::httpserver::testing

#endif  // AZUREPASS_HTTPSERVER_TESTING_TURN_H_
