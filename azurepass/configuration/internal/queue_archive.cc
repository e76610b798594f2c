// Implementation of the archive of queues.

#include "azurepass/configuration/internal/queue_archive.h"

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <tuple>
#include <utility>

#include "azurepass/codec/codec.h"
#include "azurepass/configuration/internal/former_queues.h"

namespace azurepass::configuration::internal {
namespace {

// Queues that differ in their names and routes only.
struct QueueGroup {
  std::vector<FormerQueue> queues;  // Not empty.
};
struct EntryText {
  std::vector<QueueGroup> groups;
};
// The form of the first version.
struct FirstText {
  std::vector<FormerQueue> queues;
};

constexpr int kHexadecimal = 16;
constexpr size_t kRouteDigits = 16;

// Returns the route and the name in one string, as most of an entry is these.
std::string RouteAndName(const FormerQueue& queue) {
  char route[kRouteDigits + 1];
  std::snprintf(route, sizeof(route), "%016llx",
                static_cast<unsigned long long>(queue.route));
  return std::string(route) + queue.queue.value();
}

}  // namespace
}  // namespace azurepass::configuration::internal

namespace azurepass::codec {

using configuration::internal::EntryText;
using configuration::internal::FirstText;
using configuration::internal::QueueGroup;

template <>
struct Format<QueueGroup> {
  static QueueGroup Read(ObjectReader& reader) {
    FormerQueue queue;
    queue.service = reader.Name<ServiceId>("service");
    queue.needs_key = reader.Bool("needs_key", true);
    if (reader.Has("permits")) {
      queue.permits = reader.Object<PermitTerms>("permits");
    }
    QueueGroup group;
    for (const std::string& text : reader.Strings("queues")) {
      const char* end = text.data() + std::min(text.size(), kRouteDigits);
      const auto parsed =
          std::from_chars(text.data(), end, queue.route, kHexadecimal);
      if (parsed.ec != std::errc() || parsed.ptr != end ||
          text.size() <= kRouteDigits) {
        reader.Fail(ErrorCode::kOutOfRange, "queues",
                    "must be a route's hash in hexadecimal and a name");
        break;
      }
      queue.queue = QueueId(text.substr(kRouteDigits));
      group.queues.push_back(queue);
    }
    return group;
  }
  static Json Write(const QueueGroup& value) {
    const FormerQueue& first = value.queues.front();
    Json out = {{"service", first.service.value()}};
    if (!first.needs_key) out["needs_key"] = false;
    if (first.permits) out["permits"] = codec::Write(*first.permits);
    Json& queues = out["queues"] = Json::array();
    for (const FormerQueue& queue : value.queues) {
      queues.push_back(configuration::internal::RouteAndName(queue));
    }
    return out;
  }

 private:
  static constexpr int kHexadecimal = configuration::internal::kHexadecimal;
  static constexpr size_t kRouteDigits = configuration::internal::kRouteDigits;
};

template <>
struct Format<EntryText> {
  static EntryText Read(ObjectReader& reader) {
    return {reader.Objects<QueueGroup>("groups")};
  }
  static Json Write(const EntryText& value) {
    return {{"groups", WriteAll(value.groups)}};
  }
};

template <>
struct Format<FirstText> {
  static FirstText Read(ObjectReader& reader) {
    return {reader.Objects<FormerQueue>("queues")};
  }
};

}  // namespace azurepass::codec

namespace azurepass::configuration::internal {
namespace {

constexpr int64_t kPageEntries = 100;
// Old queues that are neither in force nor a living process's former ones are
// dropped beyond this number, when entries are merged.
constexpr size_t kMaxRecordedQueues = 8'192;
// The newest entries are not merged: another process may be about to write the
// next one.
constexpr int64_t kUnmergedEntries = 8;
constexpr int kNumberDigits = 10;

std::string KeyOf(int64_t number) {
  char digits[kNumberDigits + 1];
  std::snprintf(digits, sizeof(digits), "%010lld",
                static_cast<long long>(number));
  return std::string(kQueueArchivePrefix) + digits;
}

// Returns 0 if the key is none of an entry.
int64_t NumberOf(const std::string& key) {
  if (!key.starts_with(kQueueArchivePrefix)) return 0;
  const char* end = key.data() + key.size();
  int64_t number = 0;
  const auto parsed =
      std::from_chars(key.data() + kQueueArchivePrefix.size(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? number : 0;
}

}  // namespace

std::string EncodeQueues(const std::vector<FormerQueue>& queues) {
  std::map<std::tuple<ServiceId, bool, std::optional<PermitTerms>>, QueueGroup>
      groups;
  for (const FormerQueue& queue : queues) {
    groups[{queue.service, queue.needs_key, queue.permits}].queues.push_back(
        queue);
  }
  EntryText text;
  for (auto& [terms, group] : groups) text.groups.push_back(std::move(group));
  return codec::Write(text).dump();
}

std::optional<std::vector<FormerQueue>> DecodeQueues(std::string_view text) {
  auto decoded = codec::Try([&] { return codec::Decode<EntryText>(text); });
  if (auto* entry = std::get_if<EntryText>(&decoded)) {
    std::vector<FormerQueue> queues;
    for (QueueGroup& group : entry->groups) {
      queues.insert(queues.end(), group.queues.begin(), group.queues.end());
    }
    return queues;
  }
  auto first = codec::Try([&] { return codec::Decode<FirstText>(text); });
  if (auto* whole = std::get_if<FirstText>(&first)) {
    return std::move(whole->queues);
  }
  return std::nullopt;
}

QueueArchive::QueueArchive(task::Loop& loop, QueueArchiveOptions options,
                           task::Address<store::Request> store,
                           task::Address<QueuesRecalled> listener)
    : options_(options),
      store_(std::move(store)),
      listener_(std::move(listener)),
      backoff_(options.min_backoff),
      random_(static_cast<std::minstd_rand::result_type>(options.seed)),
      timer_(loop),
      mailbox_(loop, [this](const Message& m) { Handle(m); }) {}

void QueueArchive::Record(std::shared_ptr<const Configuration> configuration) {
  if (configuration == configuration_) return;
  configuration_ = std::move(configuration);
  if (request_pending_ || timer_.active()) return;
  if (!was_read_) return SendList();
  if (!Missing().empty()) ScheduleList();
}

std::vector<FormerQueue> QueueArchive::Needed() const {
  std::vector<FormerQueue> needed = AllQueuesOf(*configuration_);
  needed.insert(needed.end(), first_queues_.begin(), first_queues_.end());
  return needed;
}

std::vector<FormerQueue> QueueArchive::Missing() const {
  std::vector<FormerQueue> missing = Needed();
  std::erase_if(missing, [this](const FormerQueue& queue) {
    return recorded_.contains(queue);
  });
  return missing;
}

void QueueArchive::Handle(const Message& message) {
  request_pending_ = false;
  std::visit(Visitor{[this](const Listed& m) { OnListed(m); },
                     [this](const FirstRead& m) { OnFirstRead(m); },
                     [this](const Written& m) { OnWritten(m); },
                     [this](const Removed& m) { OnRemoved(m); }},
             message);
}

void QueueArchive::OnListed(const Listed& listed) {
  if (const auto* error = std::get_if<store::Error>(&listed.reply)) {
    return ScheduleRetry(*error, "list");
  }
  const auto& listing = std::get<store::Listing>(listed.reply);
  for (const store::Entry& entry : listing.entries) Accept(entry);
  if (!store::IsLastPage(listing, kPageEntries)) return SendList();
  if (!was_read_) return SendFirstRead();
  if (!Missing().empty()) {
    // Other processes may have merged entries meanwhile.
    if (HasManyEntries() && !was_listed_whole_) return SendWholeList();
    return SendWrite();
  }
  if (!superseded_.empty()) SendRemove();
}

void QueueArchive::OnFirstRead(const FirstRead& read) {
  if (const auto* error = std::get_if<store::Error>(&read.reply)) {
    return ScheduleRetry(*error, "read");
  }
  backoff_ = options_.min_backoff;
  was_read_ = true;
  const auto& value = std::get<store::Value>(read.reply);
  if (value.entry) {
    if (auto queues = DecodeQueues(value.entry->value)) {
      first_queues_ = *std::move(queues);
      listener_.Send(QueuesRecalled{first_queues_});
      // Removed once its queues are recorded in entries.
      superseded_.emplace_back(kFirstQueueArchiveKey, value.entry->version);
    } else {
      LOG(ERROR) << "event=unreadable_queues key=" << value.entry->key
                 << " revision=" << value.entry->version;
    }
  }
  if (!Missing().empty() || !superseded_.empty()) ScheduleList();
}

void QueueArchive::Accept(const store::Entry& entry) {
  const Number number = NumberOf(entry.key);
  if (number == 0) return;
  last_ = std::max(last_, number);
  std::optional<std::vector<FormerQueue>> queues = DecodeQueues(entry.value);
  if (!queues) {
    LOG(ERROR) << "event=unreadable_queues key=" << entry.key
               << " revision=" << entry.version;
    return;
  }
  recorded_.insert(queues->begin(), queues->end());
  entries_[number] = {entry.version, *queues};
  listener_.Send(QueuesRecalled{*std::move(queues)});
}

void QueueArchive::SendList() {
  request_pending_ = true;
  store::List list;
  list.prefix = kQueueArchivePrefix;
  list.from = last_ == 0 ? list.prefix : store::KeyAfter(KeyOf(last_));
  list.limit = kPageEntries;
  list.reply_to = mailbox_.address().Map<store::ListReply>(
      [](store::ListReply reply) { return Message(Listed{std::move(reply)}); });
  store_.Send(std::move(list));
}

void QueueArchive::SendWholeList() {
  entries_.clear();
  recorded_.clear();
  last_ = 0;
  was_listed_whole_ = true;
  SendList();
}

bool QueueArchive::HasManyEntries() const {
  return entries_.size() > options_.max_entries ||
         recorded_.size() > kMaxRecordedQueues;
}

void QueueArchive::SendFirstRead() {
  request_pending_ = true;
  store_.Send(store::Get{
      std::string(kFirstQueueArchiveKey),
      mailbox_.address().Map<store::GetReply>([](store::GetReply reply) {
        return Message(FirstRead{std::move(reply)});
      })});
}

void QueueArchive::SendWrite() {
  request_pending_ = true;
  replaced_.clear();
  std::set<FormerQueue> queues;
  for (const FormerQueue& queue : Missing()) {
    if (queues.size() == kMaxQueuesPerEntry) break;
    queues.insert(queue);
  }
  AddSmallEntries(queues);
  writing_.assign(queues.begin(), queues.end());
  store::Put put;
  put.key = KeyOf(last_ + 1);
  put.value = EncodeQueues(writing_);
  put.expected = store::kAbsent;
  put.reply_to =
      mailbox_.address().Map<store::WriteReply>([](store::WriteReply reply) {
        return Message(Written{std::move(reply)});
      });
  store_.Send(std::move(put));
}

void QueueArchive::AddSmallEntries(std::set<FormerQueue>& queues) {
  if (!was_listed_whole_ || !HasManyEntries()) return;
  const bool is_over = recorded_.size() > kMaxRecordedQueues;
  const std::vector<FormerQueue> all = Needed();
  const std::set<FormerQueue> needed(all.begin(), all.end());
  for (const auto& [number, entry] : entries_) {
    if (number > last_ - kUnmergedEntries) break;
    std::set<FormerQueue> merged = queues;
    for (const FormerQueue& queue : entry.queues) {
      if (!is_over || needed.contains(queue)) merged.insert(queue);
    }
    if (merged.size() - queues.size() >= kMaxQueuesPerEntry / 2) continue;
    if (merged.size() > kMaxQueuesPerEntry) break;
    queues = std::move(merged);
    replaced_.push_back(number);
  }
}

void QueueArchive::OnWritten(const Written& written) {
  was_listed_whole_ = false;
  const bool is_written = std::visit(
      Visitor{[this](const store::Written& done) {
                LOG(INFO) << "event=queues_recorded queues=" << writing_.size()
                          << " replaced=" << replaced_.size()
                          << " revision=" << done.version;
                for (const Number number : replaced_) {
                  superseded_.emplace_back(KeyOf(number),
                                           entries_.at(number).version);
                  entries_.erase(number);
                }
                entries_[++last_] = {done.version, std::move(writing_)};
                recorded_.clear();
                for (const auto& [number, entry] : entries_) {
                  recorded_.insert(entry.queues.begin(), entry.queues.end());
                }
                return true;
              },
              [this](const store::Conflict& conflict) {
                if (conflict.current) Accept(*conflict.current);
                return false;
              },
              [this](const store::Error& error) {
                ScheduleRetry(error, "write");
                return false;
              }},
      written.reply);
  if (timer_.active()) return;
  if (!Missing().empty()) {
    // Another process is writing; it may well write the rest.
    if (!is_written) return ScheduleList();
    return SendWrite();
  }
  if (!superseded_.empty()) SendRemove();
}

void QueueArchive::SendRemove() {
  request_pending_ = true;
  store::Delete removal;
  removal.key = superseded_.back().first;
  removal.expected = superseded_.back().second;
  removal.reply_to =
      mailbox_.address().Map<store::WriteReply>([](store::WriteReply reply) {
        return Message(Removed{std::move(reply)});
      });
  store_.Send(std::move(removal));
}

// An entry that stays though it was to be removed does no harm.
void QueueArchive::OnRemoved(const Removed& removed) {
  if (const auto* error = std::get_if<store::Error>(&removed.reply)) {
    LOG(WARNING) << "event=queues_not_removed key=" << superseded_.back().first
                 << " reason=\"" << error->message << "\"";
  }
  superseded_.pop_back();
  if (!Missing().empty()) return ScheduleList();
  if (!superseded_.empty()) SendRemove();
}

void QueueArchive::ScheduleList() {
  timer_.After(RandomUpTo(options_.max_delay), [this] { SendList(); });
}

void QueueArchive::ScheduleRetry(const store::Error& error,
                                 std::string_view request) {
  LOG(WARNING) << "event=queues_not_recorded request=" << request
               << " reason=\"" << error.message << "\"";
  // Only the first read is urgent: other processes record queues as well.
  if (was_read_) {
    timer_.After(options_.max_delay + RandomUpTo(options_.max_delay),
                 [this] { SendList(); });
    return;
  }
  timer_.After(backoff_ / 2 + RandomUpTo(backoff_ / 2), [this] { SendList(); });
  backoff_ = std::min(2 * backoff_, options_.max_backoff);
}

Duration QueueArchive::RandomUpTo(Duration max) {
  std::uniform_int_distribution<Duration::rep> random(0, max.count());
  return Duration(random(random_));
}

}  // namespace azurepass::configuration::internal
