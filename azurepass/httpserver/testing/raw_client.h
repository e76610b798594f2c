// A TCP client that sends bytes as they are, for what a well-behaved HTTP
// library would not send. It never blocks.

#ifndef AZUREPASS_HTTPSERVER_TESTING_RAW_CLIENT_H_
#define AZUREPASS_HTTPSERVER_TESTING_RAW_CLIENT_H_

#include <gio/gio.h>

#include <string>

#include "azurepass/core/core.h"

namespace azurepass::httpserver::testing {

class RawClient {
 public:
  // Connects to "IP:PORT", for at most `patience` (0: as long as it takes).
  explicit RawClient(const std::string& address,
                     Duration patience = Duration(0));
  ~RawClient();
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }
  void Send(const std::string& bytes) { unsent_ += bytes; }
  // Closes the sending side once all bytes are sent.
  void CloseSending() { close_sending_ = true; }
  // Ends the connection with a reset.
  void Reset();
  // Sends and receives what it can; true once the server has closed.
  bool Finished();
  const std::string& received() const { return received_; }

 private:
  GSocket* socket_;
  bool connected_ = false;
  bool closed_ = false;
  bool close_sending_ = false;
  std::string unsent_;
  std::string received_;
};

}  // namespace azurepass::httpserver::testing

#endif  // AZUREPASS_HTTPSERVER_TESTING_RAW_CLIENT_H_
