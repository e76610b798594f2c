// Keeps the queues of all configurations in the store, for processes that start
// after a queue was changed. The archive is a list of numbered entries, each
// with queues that those before it lack. It is read at the start. A
// configuration with a queue that it lacks is recorded some time later by
// whichever process comes first; the delay is random, so that most processes
// find the queue recorded already and don't write. Small entries are merged
// when there are many.

#ifndef AZUREPASS_CONFIGURATION_INTERNAL_QUEUE_ARCHIVE_H_
#define AZUREPASS_CONFIGURATION_INTERNAL_QUEUE_ARCHIVE_H_

#include <cstdint>
#include <map>
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

// Entries have the keys "queues/NUMBER", in ten digits. No other package lists
// or watches this prefix: the members' and the operators' changes must not wait
// behind a large archive on a narrow link.
inline constexpr std::string_view kQueueArchivePrefix = "queues/";
// The key of the whole archive in the first version, which is taken over.
inline constexpr std::string_view kFirstQueueArchiveKey = "cluster/queues";
// Some 15 KB.
inline constexpr size_t kMaxQueuesPerEntry = 512;

// Returns the text of an entry.
std::string EncodeQueues(const std::vector<FormerQueue>& queues);
// Reads an entry, or the archive of the first version. Returns nothing if the
// text is neither.
std::optional<std::vector<FormerQueue>> DecodeQueues(std::string_view text);

// The queues that the store has.
struct QueuesRecalled {
  std::vector<FormerQueue> queues;
};

struct QueueArchiveOptions {
  Duration max_delay{0};    // Until a new queue is recorded.
  Duration min_backoff{0};  // After the first read failed; doubles each time.
  Duration max_backoff{0};
  size_t max_entries = 64;  // Beyond this, small entries are merged.
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
  using Number = int64_t;  // Of an entry.
  struct Listed {
    store::ListReply reply;
  };
  struct FirstRead {
    store::GetReply reply;
  };
  struct Written {
    store::WriteReply reply;
  };
  struct Removed {
    store::WriteReply reply;
  };
  using Message = std::variant<Listed, FirstRead, Written, Removed>;
  struct ArchiveEntry {
    store::Version version = store::kAbsent;
    std::vector<FormerQueue> queues;
  };

  void Handle(const Message& message);
  void OnListed(const Listed& listed);
  void OnFirstRead(const FirstRead& read);
  void OnWritten(const Written& written);
  void OnRemoved(const Removed& removed);
  void Accept(const store::Entry& entry);
  // Reads the entries behind the last one known.
  void SendList();
  void SendWholeList();
  void SendFirstRead();
  // Writes queues that are not recorded yet as the next entry.
  void SendWrite();
  void SendRemove();
  bool HasManyEntries() const;
  // Adds the queues of small entries, if there are many entries.
  void AddSmallEntries(std::set<FormerQueue>& queues);
  void ScheduleList();
  void ScheduleRetry(const store::Error& error, std::string_view request);
  // Returns the queues that the archive has to have.
  std::vector<FormerQueue> Needed() const;
  // Returns those of them that `recorded_` lacks.
  std::vector<FormerQueue> Missing() const;
  Duration RandomUpTo(Duration max);

  const QueueArchiveOptions options_;
  const task::Address<store::Request> store_;
  const task::Address<QueuesRecalled> listener_;
  std::shared_ptr<const Configuration> configuration_;
  std::map<Number, ArchiveEntry> entries_;  // In the store, as last read.
  std::set<FormerQueue> recorded_;          // Those of `entries_`.
  Number last_ = 0;                         // The highest number known.
  // The write in flight, and the entries that it replaces.
  std::vector<FormerQueue> writing_;
  std::vector<Number> replaced_;
  // Keys that are superseded, with their versions.
  std::vector<std::pair<std::string, store::Version>> superseded_;
  std::vector<FormerQueue> first_queues_;  // Of kFirstQueueArchiveKey.
  bool was_read_ = false;          // The list, and kFirstQueueArchiveKey.
  bool was_listed_whole_ = false;  // `entries_` has no removed entry.
  bool request_pending_ = false;   // A request is in flight.
  Duration backoff_;
  std::minstd_rand random_;
  task::Timer timer_;  // For the next list.
  task::Mailbox<Message> mailbox_;
};

}  // namespace azurepass::configuration::internal

#endif  // AZUREPASS_CONFIGURATION_INTERNAL_QUEUE_ARCHIVE_H_
