// The end of a connection whose request was not read whole. Closing a socket
// with unread data resets it, and the client may then never see the answer. So
// the last response is written, our side is shut down, and what the client
// still sends is dropped until it closes its side, a time has passed, or it has
// sent more than anyone would.

#ifndef AZUREPASS_HTTPSERVER_INTERNAL_LINGERING_CLOSE_H_
#define AZUREPASS_HTTPSERVER_INTERNAL_LINGERING_CLOSE_H_

#include <gio/gio.h>

#include <functional>
#include <string>

#include "azurepass/task/task.h"

namespace azurepass::httpserver::internal {

// A second handle on the connection of `socket`, which outlives the closing of
// the first. Null when there is none to be had.
GSocket* Duplicate(GSocket* socket);

// True when the peer has closed its side. What it sent stays to be read.
bool PeerHungUp(GSocket* socket);

inline constexpr Duration kLingerTimeout{2'000};
inline constexpr int64_t kMaxLingerBytes = 8 << 20;

class LingeringClose {
 public:
  // Takes `socket`, which nobody else reads any more, and writes
  // `last_words`. `done` is called when all is over, and never from the
  // constructor.
  LingeringClose(task::Loop& loop, GSocket* socket,
                 const std::string& last_words, std::function<void()> done);
  ~LingeringClose();
  LingeringClose(const LingeringClose&) = delete;
  LingeringClose& operator=(const LingeringClose&) = delete;

 private:
  gboolean OnReadable();

  GSocket* socket_;
  GSource* readable_ = nullptr;
  int64_t dropped_bytes_ = 0;
  std::function<void()> done_;
  task::Timer timeout_;
};

}  // namespace azurepass::httpserver::internal

#endif  // AZUREPASS_HTTPSERVER_INTERNAL_LINGERING_CLOSE_H_
