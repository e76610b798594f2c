// Keeps the queues of all configurations in the store, for processes that start
// after a queue was changed. The value is read at the start. A configuration
// with a queue that it lacks is recorded some time later by whichever process
// comes first; the delay is random, so that most processes find the queue
// recorded already and don't write.

#ifndef AZUREPASS_CONFIGURATION_INTERNAL_QUEUE_ARCHIVE_H_
#define AZUREPASS_CONFIGURATION_INTERNAL_QUEUE_ARCHIVE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"

namespace azurepass::configuration::internal {

// The value in the store.
inline constexpr std::string_view kQueueArchiveKey = "cluster/queues";
std::string EncodeQueues(const std::vector<FormerQueue>& queues);
// Returns nothing if the text is no list of queues.
std::optional<std::vector<FormerQueue>> DecodeQueues(std::string_view text);

// The queues that the store has.
struct QueuesRecalled {
  std::vector<FormerQueue> queues;
};

struct QueueArchiveOptions {
  Duration max_delay{0};    // Until a new queue is recorded.
  Duration min_backoff{0};  // After a failed request; doubles each time.
  Duration max_backoff{0};
  uint64_t seed = 1;
};

class QueueArchive {
 public:
  QueueArchive(task::Loop& loop, QueueArchiveOptions options,
               task::Address<store::Request> store,
               task::Address<QueuesRecalled> listener);

  // Tells the configuration in force.
  void Record(std::shared_ptr<const Configuration> configuration);

 private:
  struct Read {
    store::GetReply reply;
  };
  struct Written {
    store::WriteReply reply;
  };
  using Message = std::variant<Read, Written>;

  void Handle(const Message& message);
  void OnRead(const Read& read);
  void OnWritten(const Written& written);
  void Accept(const store::Entry& entry);
  void SendRead();
  void SendWrite();
  void ScheduleRead();
  void ScheduleRetry(const store::Error& error, std::string_view request);
  bool IsComplete() const;
  Duration RandomUpTo(Duration max);

  const QueueArchiveOptions options_;
  const task::Address<store::Request> store_;
  const task::Address<QueuesRecalled> listener_;
  std::shared_ptr<const Configuration> configuration_;
  std::set<FormerQueue> recorded_;  // In the store, as of `version_`.
  store::Version version_ = store::kAbsent;
  std::vector<FormerQueue> writing_;  // The value of the write in flight.
  bool was_read_ = false;
  bool request_pending_ = false;  // A request is in flight.
  Duration backoff_;
  std::minstd_rand random_;
  task::Timer timer_;  // For the next read.
  task::Mailbox<Message> mailbox_;
};

}  // namespace azurepass::configuration::internal

#endif  // AZUREPASS_CONFIGURATION_INTERNAL_QUEUE_ARCHIVE_H_
