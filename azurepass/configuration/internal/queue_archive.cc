// Implementation of the archive of queues.

#include "azurepass/configuration/internal/queue_archive.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "azurepass/codec/codec.h"
#include "azurepass/configuration/internal/former_queues.h"

namespace azurepass::codec {

template <>
struct Format<configuration::internal::QueuesRecalled> {
  static configuration::internal::QueuesRecalled Read(ObjectReader& reader) {
    return {reader.Objects<FormerQueue>("queues")};
  }
  static Json Write(const configuration::internal::QueuesRecalled& value) {
    return {{"queues", WriteAll(value.queues)}};
  }
};

}  // namespace azurepass::codec

namespace azurepass::configuration::internal {
namespace {

// Keeps the value well below the size that the store takes.
constexpr size_t kMaxRecordedQueues = 8'192;

}  // namespace

std::string EncodeQueues(const std::vector<FormerQueue>& queues) {
  return codec::Write(QueuesRecalled{queues}).dump();
}

std::optional<std::vector<FormerQueue>> DecodeQueues(std::string_view text) {
  auto decoded =
      codec::Try([&] { return codec::Decode<QueuesRecalled>(text); });
  if (auto* recalled = std::get_if<QueuesRecalled>(&decoded)) {
    return std::move(recalled->queues);
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
  if (!was_read_) return SendRead();
  if (!IsComplete()) ScheduleRead();
}

bool QueueArchive::IsComplete() const {
  const std::vector<FormerQueue> all = AllQueuesOf(*configuration_);
  return std::all_of(all.begin(), all.end(), [this](const FormerQueue& queue) {
    return recorded_.contains(queue);
  });
}

void QueueArchive::Handle(const Message& message) {
  request_pending_ = false;
  std::visit(Visitor{[this](const Read& read) { OnRead(read); },
                     [this](const Written& written) { OnWritten(written); }},
             message);
}

void QueueArchive::OnRead(const Read& read) {
  if (const auto* error = std::get_if<store::Error>(&read.reply)) {
    return ScheduleRetry(*error, "read");
  }
  backoff_ = options_.min_backoff;
  const auto& value = std::get<store::Value>(read.reply);
  if (value.entry) Accept(*value.entry);
  const bool first = !std::exchange(was_read_, true);
  if (IsComplete()) return;
  if (first) return ScheduleRead();
  SendWrite();
}

void QueueArchive::Accept(const store::Entry& entry) {
  version_ = entry.version;
  std::optional<std::vector<FormerQueue>> queues = DecodeQueues(entry.value);
  if (!queues) {
    LOG(ERROR) << "event=unreadable_queues key=" << entry.key
               << " revision=" << entry.version;
    recorded_.clear();
    return;
  }
  recorded_ = std::set<FormerQueue>(queues->begin(), queues->end());
  listener_.Send(QueuesRecalled{*std::move(queues)});
}

void QueueArchive::SendRead() {
  request_pending_ = true;
  store_.Send(store::Get{
      std::string(kQueueArchiveKey),
      mailbox_.address().Map<store::GetReply>([](store::GetReply reply) {
        return Message(Read{std::move(reply)});
      })});
}

void QueueArchive::SendWrite() {
  request_pending_ = true;
  const std::vector<FormerQueue> all = AllQueuesOf(*configuration_);
  std::set<FormerQueue> queues(all.begin(), all.end());
  if (queues.size() + recorded_.size() <= kMaxRecordedQueues) {
    queues.insert(recorded_.begin(), recorded_.end());
  }
  writing_.assign(queues.begin(), queues.end());
  store::Put put;
  put.key = kQueueArchiveKey;
  put.value = EncodeQueues(writing_);
  put.expected = version_;
  put.reply_to =
      mailbox_.address().Map<store::WriteReply>([](store::WriteReply reply) {
        return Message(Written{std::move(reply)});
      });
  store_.Send(std::move(put));
}

void QueueArchive::OnWritten(const Written& written) {
  std::visit(
      Visitor{
          [this](const store::Written& done) {
            version_ = done.version;
            recorded_ = std::set<FormerQueue>(writing_.begin(), writing_.end());
            LOG(INFO) << "event=queues_recorded queues=" << writing_.size()
                      << " revision=" << done.version;
          },
          [this](const store::Conflict& conflict) {
            if (conflict.current) Accept(*conflict.current);
          },
          [this](const store::Error& error) { ScheduleRetry(error, "write"); }},
      written.reply);
  writing_.clear();
  if (!timer_.active() && !IsComplete()) ScheduleRead();
}

void QueueArchive::ScheduleRead() {
  timer_.After(RandomUpTo(options_.max_delay), [this] { SendRead(); });
}

void QueueArchive::ScheduleRetry(const store::Error& error,
                                 std::string_view request) {
  LOG(WARNING) << "event=queues_not_recorded request=" << request
               << " reason=\"" << error.message << "\"";
  timer_.After(backoff_ / 2 + RandomUpTo(backoff_ / 2), [this] { SendRead(); });
  backoff_ = std::min(2 * backoff_, options_.max_backoff);
}

Duration QueueArchive::RandomUpTo(Duration max) {
  std::uniform_int_distribution<Duration::rep> random(0, max.count());
  return Duration(random(random_));
}

}  // namespace azurepass::configuration::internal
