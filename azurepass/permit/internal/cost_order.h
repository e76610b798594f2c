// The order of waiting requests: the cheapest first, but an expensive one
// yields for a bounded time only. Knows no clock; the caller passes the time.

#ifndef AZUREPASS_PERMIT_INTERNAL_COST_ORDER_H_
#define AZUREPASS_PERMIT_INTERNAL_COST_ORDER_H_

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "azurepass/core/core.h"

namespace azurepass::permit::internal {

// A request yields to cheaper ones for this multiple of its cost, up to the
// bound given to Add.
inline constexpr int kYieldFactor = 2;

class CostOrder {
 public:
  struct Head {
    int64_t serial = 0;
    bool overdue = false;  // It has yielded for long enough.
  };

  bool empty() const { return yield_deadlines_.empty(); }

  // Requests of equal cost are in the order of `tie_break`, then of `serial`.
  // Serials are unique.
  void Add(int64_t serial, Duration cost, uint64_t tie_break,
           Duration max_yield, MonotonicTime now) {
    const MonotonicTime deadline =
        now + std::min(kYieldFactor * cost, max_yield);
    by_cost_.emplace(cost, tie_break, serial);
    by_yield_deadline_.emplace(deadline, serial);
    yield_deadlines_.emplace(serial, Entry{cost, tie_break, deadline});
  }

  // Returns the request that is next. Requires that there is one.
  Head Next(MonotonicTime now) const {
    const auto& [deadline, oldest] = *by_yield_deadline_.begin();
    if (deadline <= now) return {oldest, true};
    return {std::get<int64_t>(*by_cost_.begin()), false};
  }

  void Remove(int64_t serial) {
    const auto found = yield_deadlines_.find(serial);
    if (found == yield_deadlines_.end()) return;
    const Entry& entry = found->second;
    by_cost_.erase({entry.cost, entry.tie_break, serial});
    by_yield_deadline_.erase({entry.deadline, serial});
    yield_deadlines_.erase(found);
  }

 private:
  struct Entry {
    Duration cost{0};
    uint64_t tie_break = 0;
    MonotonicTime deadline;
  };

  // Invariant: the three containers hold the same serials.
  std::set<std::tuple<Duration, uint64_t, int64_t>> by_cost_;
  std::set<std::pair<MonotonicTime, int64_t>> by_yield_deadline_;
  std::map<int64_t, Entry> yield_deadlines_;
};

}  // namespace azurepass::permit::internal

#endif  // AZUREPASS_PERMIT_INTERNAL_COST_ORDER_H_
