// A bound on the bytes of all request bodies that a server holds. A request
// draws on it before its body is read. When too little is left, the request
// whose body has made no progress for longest gives way, so that clients that
// stop in the middle can't keep out one that sends all it has.
//
// Knows no clock and no sockets; the caller passes the time and ends requests.

#ifndef AZUREPASS_HTTPSERVER_INTERNAL_BODY_BUDGET_H_
#define AZUREPASS_HTTPSERVER_INTERNAL_BODY_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "azurepass/core/core.h"
#include "azurepass/httpserver/httpserver.h"

namespace azurepass::httpserver::internal {

class BodyBudget {
 public:
  explicit BodyBudget(int64_t limit) : limit_(limit) {}

  bool Fits(int64_t bytes) const { return bytes <= limit_ - reserved_; }

  // Reserves the bytes for a request whose body is about to be read. Requires
  // that they fit, and that the request has no reservation.
  void Reserve(ExchangeId id, int64_t bytes, MonotonicTime now) {
    requests_.emplace(id, Reservation{bytes, now, true});
    reading_.insert({now, id});
    reserved_ += bytes;
  }
  // A part of the body has arrived.
  void OnProgress(ExchangeId id, MonotonicTime now) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.reading) return;
    reading_.erase({found->second.progress, id});
    found->second.progress = now;
    reading_.insert({now, id});
  }
  // The body was read; the reservation stays and does not give way.
  void OnRead(ExchangeId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.reading) return;
    reading_.erase({found->second.progress, id});
    found->second.reading = false;
  }
  void Release(ExchangeId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    OnRead(id);
    reserved_ -= found->second.bytes;
    requests_.erase(found);
  }

  // Returns the request that gives way; empty if none is being read.
  std::optional<ExchangeId> LeastRecentlyActive() const {
    if (reading_.empty()) return std::nullopt;
    return reading_.begin()->second;
  }

  int64_t reserved() const { return reserved_; }

 private:
  struct Reservation {
    int64_t bytes = 0;
    MonotonicTime progress;  // Of its latest progress.
    bool reading = true;
  };

  const int64_t limit_;
  // Invariant: reserved_ is the sum of the bytes of requests_; reading_ holds
  // those of requests_ that are being read.
  int64_t reserved_ = 0;
  std::map<ExchangeId, Reservation> requests_;
  std::set<std::pair<MonotonicTime, ExchangeId>> reading_;
};

}  // namespace azurepass::httpserver::internal

#endif  // AZUREPASS_HTTPSERVER_INTERNAL_BODY_BUDGET_H_
