// The fake store. One map of entries and a log of changes; a watch is answered
// from the log.

#include "azurepass/testing/fake_store.h"

#include <algorithm>
#include <utility>

namespace azurepass::testing {
namespace {

MonotonicTime Now() { return BootClock::now(); }

template <class Reply>
void SendUnavailable(const task::Address<Reply>& to) {
  to.Send(store::Error{store::ErrorCode::kUnavailable, "outage"});
}

void Refuse(const store::Request& request) {
  std::visit(
      Visitor{[](const store::RevokeLease&) {},
              [](const auto& asked) { SendUnavailable(asked.reply_to); }},
      request);
}

}  // namespace

FakeStore::FakeStore(task::Loop& loop)
    : timer_(loop),
      mailbox_(loop, [this](Message m) { Handle(std::move(m)); }) {}

task::Address<store::Request> FakeStore::Port(int64_t port) const {
  return mailbox_.address().Map<store::Request>(
      [port](store::Request request) -> Message {
        return Asked{port, std::move(request)};
      });
}

task::Address<FakeStoreControl> FakeStore::control() const {
  return mailbox_.address();
}

Faults& FakeStore::FaultsOf(int64_t port) {
  auto found = by_port_.find(port);
  return found == by_port_.end() ? everybody_ : found->second;
}

void FakeStore::Handle(Message message) {
  std::visit(Visitor{[this](Asked& asked) { Ask(std::move(asked)); },
                     [this](FakeStoreControl& c) { Control(std::move(c)); }},
             message);
}

void FakeStore::Ask(Asked asked) {
  ++requests_;
  ExpireOld();
  const Faults faults = FaultsOf(asked.port);
  if (faults.outage) {
    Later(faults.delay,
          [request = std::move(asked.request)] { Refuse(request); });
    return;
  }
  std::visit([this, port = asked.port](
                 auto& request) { Serve(port, std::move(request)); },
             asked.request);
}

void FakeStore::Control(FakeStoreControl control) {
  std::visit(
      Visitor{[this](const SetFaults& set) {
                if (set.port) by_port_[*set.port] = set.faults;
                if (!set.port) by_port_.clear();
                if (!set.port) everybody_ = set.faults;
                std::erase_if(watches_, [this](const auto& item) {
                  const Waiting& waiting = item.second;
                  if (!FaultsOf(waiting.port).outage) return false;
                  SendUnavailable(waiting.watch.reply_to);
                  return true;
                });
              },
              [this](const Compact&) {
                history_.clear();
                compacted_ = revision_;
              },
              [this](const ExpireLeases&) {
                while (!leases_.empty()) {
                  const std::string id = leases_.begin()->first;
                  RemoveLease(id);
                }
              },
              [this](const CountRequests& c) { c.reply_to.Send(requests_); }},
      control);
}

template <class Reply>
void FakeStore::Answer(int64_t port, const task::Address<Reply>& to,
                       Reply answer) {
  const Duration delay = FaultsOf(port).delay;
  if (delay == Duration(0)) return to.Send(std::move(answer));
  Later(delay, [to, answer = std::move(answer)] { to.Send(answer); });
}

template <class Reply>
void FakeStore::AnswerWrite(int64_t port, const task::Address<Reply>& to,
                            Reply answer) {
  Faults& faults = FaultsOf(port);
  if (faults.lost_answers > 0) {
    --faults.lost_answers;
    answer = store::Error{store::ErrorCode::kOutcomeUnknown, "answer lost"};
  }
  Answer(port, to, std::move(answer));
}

void FakeStore::Serve(int64_t port, const store::Get& get) {
  store::Value value{std::nullopt, Revision{revision_}};
  auto found = entries_.find(get.key);
  if (found != entries_.end()) value.entry = found->second;
  Answer<store::GetReply>(port, get.reply_to, value);
}

void FakeStore::Serve(int64_t port, const store::List& list) {
  if (list.from.find('\0') != std::string::npos) {
    Answer<store::ListReply>(
        port, list.reply_to,
        store::Error{store::ErrorCode::kRejected, "a zero byte in a key"});
    return;
  }
  store::Listing listing{{}, Revision{revision_}};
  const std::string from = std::max(list.prefix, list.from);
  for (auto it = entries_.lower_bound(from);
       it != entries_.end() && it->first.starts_with(list.prefix) &&
       static_cast<int64_t>(listing.entries.size()) < list.limit;
       ++it) {
    listing.entries.push_back(it->second);
  }
  Answer<store::ListReply>(port, list.reply_to, listing);
}

std::optional<store::Conflict> FakeStore::Check(
    const std::string& key, std::optional<store::Version> expected) {
  if (!expected) return std::nullopt;
  auto found = entries_.find(key);
  const bool there = found != entries_.end();
  const store::Version version = there ? found->second.version : store::kAbsent;
  if (version == *expected) return std::nullopt;
  store::Conflict conflict;
  if (there) conflict.current = found->second;
  return conflict;
}

void FakeStore::Record(const std::string& key,
                       std::optional<store::Entry> entry) {
  ++revision_;
  if (entry) entry->version = revision_;
  if (entry) entries_[key] = *entry;
  if (!entry) entries_.erase(key);
  history_.push_back({revision_, {key, std::move(entry)}});
  AnswerWatches();
}

void FakeStore::Serve(int64_t port, const store::Put& put) {
  if (auto conflict = Check(put.key, put.expected)) {
    return AnswerWrite<store::WriteReply>(port, put.reply_to, *conflict);
  }
  if (!put.lease.empty() && !leases_.contains(put.lease)) {
    return Answer<store::WriteReply>(
        port, put.reply_to, store::Error{store::ErrorCode::kLeaseLost, ""});
  }
  lease_of_[put.key] = put.lease;
  Record(put.key, store::Entry{put.key, put.value, store::kAbsent});
  AnswerWrite<store::WriteReply>(port, put.reply_to, store::Written{revision_});
}

void FakeStore::Serve(int64_t port, const store::Delete& removal) {
  if (auto conflict = Check(removal.key, removal.expected)) {
    return AnswerWrite<store::WriteReply>(port, removal.reply_to, *conflict);
  }
  if (entries_.contains(removal.key)) Record(removal.key, std::nullopt);
  AnswerWrite<store::WriteReply>(port, removal.reply_to,
                                 store::Written{revision_});
}

void FakeStore::Serve(int64_t port, const store::GrantLease& grant) {
  const std::string id = "lease-" + std::to_string(next_id_++);
  leases_[id] = {grant.ttl, Now() + grant.ttl};
  Later(grant.ttl, [this] { ExpireOld(); });
  AnswerWrite<store::GrantReply>(port, grant.reply_to, store::LeaseGranted{id});
}

void FakeStore::Serve(int64_t port, const store::RenewLease& renew) {
  auto found = leases_.find(renew.lease);
  if (found == leases_.end()) {
    return Answer<store::RenewReply>(
        port, renew.reply_to, store::Error{store::ErrorCode::kLeaseLost, ""});
  }
  found->second.until = Now() + found->second.ttl;
  Later(found->second.ttl, [this] { ExpireOld(); });
  AnswerWrite<store::RenewReply>(port, renew.reply_to, store::LeaseRenewed{});
}

void FakeStore::Serve(int64_t /*port*/, const store::RevokeLease& revoke) {
  RemoveLease(revoke.lease);
}

void FakeStore::Serve(int64_t port, store::Watch watch) {
  if (watch.after.value < compacted_) {
    return Answer<store::WatchReply>(
        port, watch.reply_to, store::Error{store::ErrorCode::kCompacted, ""});
  }
  const Duration wait = watch.wait;
  const int64_t id = next_id_++;
  watches_[id] = {port, std::move(watch)};
  AnswerWatches();
  Later(wait, [this, id] {
    auto found = watches_.find(id);
    if (found == watches_.end()) return;
    Answer<store::WatchReply>(found->second.port, found->second.watch.reply_to,
                              store::Changes{{}, Revision{revision_}});
    watches_.erase(found);
  });
}

store::Changes FakeStore::ChangesAfter(const store::Watch& watch) const {
  store::Changes changes{{}, Revision{revision_}};
  for (const Logged& logged : history_) {
    if (logged.revision <= watch.after.value) continue;
    if (!logged.change.key.starts_with(watch.prefix)) continue;
    changes.changes.push_back(logged.change);
  }
  return changes;
}

void FakeStore::AnswerWatches() {
  std::erase_if(watches_, [this](const auto& item) {
    const Waiting& waiting = item.second;
    store::Changes changes = ChangesAfter(waiting.watch);
    if (changes.changes.empty()) return false;
    Answer<store::WatchReply>(waiting.port, waiting.watch.reply_to,
                              std::move(changes));
    return true;
  });
}

void FakeStore::RemoveLease(const std::string& lease) {
  if (leases_.erase(lease) == 0) return;
  std::vector<std::string> keys;
  for (const auto& [key, holder] : lease_of_) {
    if (holder == lease && entries_.contains(key)) keys.push_back(key);
  }
  for (const std::string& key : keys) Record(key, std::nullopt);
}

void FakeStore::ExpireOld() {
  const MonotonicTime now = Now();
  std::vector<std::string> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.until <= now) expired.push_back(id);
  }
  for (const std::string& id : expired) RemoveLease(id);
}

void FakeStore::Later(Duration delay, std::function<void()> work) {
  agenda_.emplace(Now() + delay, std::move(work));
  Arm();
}

void FakeStore::RunDue() {
  while (!agenda_.empty() && agenda_.begin()->first <= Now()) {
    const auto work = std::move(agenda_.begin()->second);
    agenda_.erase(agenda_.begin());
    work();
  }
  Arm();
}

void FakeStore::Arm() {
  if (agenda_.empty()) return;
  const auto left = std::chrono::ceil<Duration>(agenda_.begin()->first - Now());
  timer_.After(left, [this] { RunDue(); });
}

}  // namespace azurepass::testing
