// The platform's store as a task that answers store::Requests from memory, for
// tests of the tasks that talk to it. Keys, versions, leases, watches and
// conditional writes behave as store.h describes; faults are switched by
// message, for everybody or for one port.
//
// Usage:
//
//   FakeStore fake(loop);
//   Keeper keeper(loop, options, fake.Port(1), ...);
//   fake.control().Send(SetFaults{.faults = {.outage = true}});

#ifndef AZUREPASS_TESTING_FAKE_STORE_H_
#define AZUREPASS_TESTING_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/store/store.h"
#include "azurepass/task/task.h"

namespace azurepass::testing {

struct Faults {
  bool outage = false;       // Each request fails, held watches too.
  int64_t lost_answers = 0;  // So many writes take effect unanswered.
  Duration delay{0};         // Before each answer.
};

// Empty port: all of them.
struct SetFaults {
  std::optional<int64_t> port;
  Faults faults;
};
// Forgets the history: a watch after an older revision fails.
struct Compact {};
// Ends a lease as if its time had run out.
struct ExpireLeases {};
// Answered once all that was sent before has been handled.
struct CountRequests {
  task::Address<int64_t> reply_to;
};
using FakeStoreControl =
    std::variant<SetFaults, Compact, ExpireLeases, CountRequests>;

class FakeStore {
 public:
  explicit FakeStore(task::Loop& loop);
  FakeStore(const FakeStore&) = delete;
  FakeStore& operator=(const FakeStore&) = delete;

  // What one client of the store talks to.
  task::Address<store::Request> Port(int64_t port) const;
  task::Address<FakeStoreControl> control() const;

 private:
  struct Asked {
    int64_t port = 0;
    store::Request request;
  };
  using Message = std::variant<Asked, FakeStoreControl>;
  struct Waiting {
    int64_t port = 0;
    store::Watch watch;
  };
  struct Lease {
    Duration ttl{0};
    MonotonicTime until;
  };
  struct Logged {
    int64_t revision = 0;
    store::Change change;
  };

  void Handle(Message message);
  void Ask(Asked asked);
  void Control(FakeStoreControl control);
  Faults& FaultsOf(int64_t port);

  // Sends `answer` after the port's delay.
  template <class Reply>
  void Answer(int64_t port, const task::Address<Reply>& to, Reply answer);
  template <class Reply>
  void AnswerWrite(int64_t port, const task::Address<Reply>& to, Reply answer);

  void Serve(int64_t port, const store::Get& get);
  void Serve(int64_t port, const store::List& list);
  void Serve(int64_t port, const store::Put& put);
  void Serve(int64_t port, const store::Delete& removal);
  void Serve(int64_t port, const store::GrantLease& grant);
  void Serve(int64_t port, const store::RenewLease& renew);
  void Serve(int64_t port, const store::RevokeLease& revoke);
  void Serve(int64_t port, store::Watch watch);

  // The conflict that a condition meets, if any.
  std::optional<store::Conflict> Check(const std::string& key,
                                       std::optional<store::Version> expected);
  void Record(const std::string& key, std::optional<store::Entry> entry);
  // `lease` must not be part of leases_: its entry is erased.
  void RemoveLease(const std::string& lease);
  void ExpireOld();
  store::Changes ChangesAfter(const store::Watch& watch) const;
  void AnswerWatches();

  // Runs `work` after `delay`, never before this returns: it may change what
  // the caller goes through.
  void Later(Duration delay, std::function<void()> work);
  void RunDue();
  void Arm();

  std::map<std::string, store::Entry> entries_;
  std::map<std::string, Lease> leases_;
  std::map<std::string, std::string> lease_of_;  // By key; the latest write's.
  std::map<int64_t, Waiting> watches_;
  std::vector<Logged> history_;
  int64_t revision_ = 0;
  int64_t compacted_ = 0;  // History reaches back to here.
  int64_t next_id_ = 1;
  int64_t requests_ = 0;
  Faults everybody_;
  std::map<int64_t, Faults> by_port_;
  std::multimap<MonotonicTime, std::function<void()>> agenda_;
  task::Timer timer_;
  task::Mailbox<Message> mailbox_;
};

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_FAKE_STORE_H_
