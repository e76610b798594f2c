// The archive of queues on a loop with a fake store.

#include "azurepass/configuration/internal/queue_archive.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "azurepass/configuration/internal/former_queues.h"
#include "azurepass/testing/fake_store.h"
#include "azurepass/testing/inbox.h"

namespace azurepass::configuration::internal {
namespace {

using testing::FakeStore;
using testing::Inbox;

constexpr size_t kMaxEntries = 4;

FormerQueue Queue(const std::string& name, const std::string& service,
                  const std::string& prefix) {
  FormerQueue queue;
  queue.queue = QueueId(name);
  queue.service = ServiceId(service);
  queue.route = RouteHash("h", prefix);
  return queue;
}

std::shared_ptr<Configuration> MakeConfiguration(int64_t queues) {
  auto configuration = std::make_shared<Configuration>();
  for (int64_t i = 0; i < queues; ++i) {
    QueueRecord queue;
    queue.queue = QueueId("r-" + std::to_string(i));
    queue.service = ServiceId("intake");
    queue.host = "h";
    queue.path_prefix = "/" + std::to_string(i) + "/";
    configuration->queues[queue.queue] = queue;
  }
  return configuration;
}

class Harness {
 public:
  Harness() : store_(loop_) { AddArchive(); }
  ~Harness() { loop_.Stop(); }
  void Start() { loop_.Start(); }
  // Adds an archive that has read nothing yet. Before Start, or to a loop that
  // has only idle tasks.
  void AddArchive() {
    const auto index = static_cast<int64_t>(tasks_.size());
    QueueArchiveOptions options;
    options.max_delay = Duration(10);
    options.min_backoff = Duration(5);
    options.max_backoff = Duration(20);
    options.max_entries = kMaxEntries;
    options.seed = static_cast<uint64_t>(index) + 1;
    inboxes_.push_back(std::make_unique<Inbox<QueuesRecalled>>());
    tasks_.push_back(std::make_unique<Task>(loop_, options, store_.Port(index),
                                            inboxes_.back()->address()));
  }
  void Record(size_t index, const std::shared_ptr<Configuration>& value) {
    tasks_[index]->mailbox.address().Send(value);
  }
  std::vector<store::Entry> Entries(const std::string& prefix) {
    Inbox<store::ListReply> reply;
    store_.Port(-1).Send(store::List{prefix, prefix, 10'000, reply.address()});
    return std::get<store::Listing>(reply.Take()).entries;
  }
  void Put(const std::string& key, const std::string& value) {
    Inbox<store::WriteReply> reply;
    store_.Port(-1).Send(
        store::Put{key, value, std::nullopt, "", reply.address()});
    reply.Take();
  }
  std::set<FormerQueue> Recorded() {
    std::set<FormerQueue> queues;
    for (const store::Entry& entry :
         Entries(std::string(kQueueArchivePrefix))) {
      const auto decoded = DecodeQueues(entry.value);
      REQUIRE(decoded.has_value());
      queues.insert(decoded->begin(), decoded->end());
    }
    return queues;
  }
  // Returns whether the store has all of these queues within 2 s.
  bool AwaitRecorded(const std::vector<FormerQueue>& queues) {
    for (int i = 0; i < 200; ++i) {
      const std::set<FormerQueue> recorded = Recorded();
      if (std::all_of(queues.begin(), queues.end(), [&](const auto& queue) {
            return recorded.contains(queue);
          })) {
        return true;
      }
      Inbox<int64_t> nothing;
      nothing.TakeWithin(Duration(10));
    }
    return false;
  }
  // Waits until the archive has told at least `count` different queues.
  std::set<FormerQueue> AwaitRecalled(size_t index, size_t count) {
    std::set<FormerQueue> queues;
    while (queues.size() < count) {
      const QueuesRecalled recalled = inboxes_[index]->Take();
      queues.insert(recalled.queues.begin(), recalled.queues.end());
    }
    return queues;
  }

 private:
  struct Task {
    Task(task::Loop& loop, const QueueArchiveOptions& options,
         task::Address<store::Request> store,
         task::Address<QueuesRecalled> listener)
        : archive(loop, options, std::move(store), std::move(listener)),
          mailbox(loop, [this](const std::shared_ptr<Configuration>& value) {
            archive.Record(value);
          }) {}
    QueueArchive archive;
    task::Mailbox<std::shared_ptr<Configuration>> mailbox;
  };

  std::vector<std::unique_ptr<Inbox<QueuesRecalled>>> inboxes_;
  task::Loop loop_;
  FakeStore store_;
  std::vector<std::unique_ptr<Task>> tasks_;
};

TEST_CASE("an entry's queues are read as they were written") {
  FormerQueue open = Queue("open", "vision", "/a/");
  open.needs_key = false;
  FormerQueue permitted = Queue("permitted", "intake", "/b/");
  permitted.permits = PermitTerms{};
  permitted.permits->validity = Duration(7);
  const std::vector<FormerQueue> queues = {Queue("a", "intake", "/a/"),
                                           Queue("b", "intake", "/b/"), open,
                                           permitted};
  const auto decoded = DecodeQueues(EncodeQueues(queues));
  REQUIRE(decoded.has_value());
  CHECK(std::set(decoded->begin(), decoded->end()) ==
        std::set(queues.begin(), queues.end()));
  const char* const malformed[] = {
      "",
      "[]",
      R"({"groups": [{"queues": []}]})",
      R"({"groups": [{"service": "s", "queues": ["0123456789abcdef"]}]})",
      R"({"groups": [{"service": "s", "queues": ["0123456789abcdeg-q"]}]})",
      R"({"groups": [{"service": "s", "queues": ["12"]}]})",
  };
  for (const char* text : malformed) {
    CAPTURE(text);
    CHECK_FALSE(DecodeQueues(text).has_value());
  }
}

// Guards against writes that a narrow link can't carry in the time of a call.
TEST_CASE("many queues are recorded in entries of bounded size") {
  constexpr size_t kMaxBytes = 20'000;
  Harness harness;
  harness.AddArchive();
  harness.Start();
  const auto configuration = MakeConfiguration(1'720);
  harness.Record(0, configuration);
  harness.Record(1, configuration);
  REQUIRE(harness.AwaitRecorded(AllQueuesOf(*configuration)));
  for (const store::Entry& entry :
       harness.Entries(std::string(kQueueArchivePrefix))) {
    CHECK(entry.value.size() < kMaxBytes);
  }
}

TEST_CASE("small entries are merged, and nothing is lost") {
  Harness harness;
  harness.AddArchive();
  harness.Start();
  constexpr int64_t kConfigurations = 60;
  for (int64_t i = 1; i <= kConfigurations; ++i) {
    const auto configuration = MakeConfiguration(i);
    harness.Record(i % 2, configuration);
    REQUIRE(harness.AwaitRecorded(AllQueuesOf(*configuration)));
  }
  // The newest eight aren't merged. The others are removed one by one.
  bool is_merged = false;
  for (int i = 0; i < 200 && !is_merged; ++i) {
    const auto entries = harness.Entries(std::string(kQueueArchivePrefix));
    size_t queues = 0;
    for (const store::Entry& entry : entries) {
      queues += DecodeQueues(entry.value)->size();
    }
    is_merged = entries.size() <= kMaxEntries + 10 && queues == kConfigurations;
    Inbox<int64_t> nothing;
    nothing.TakeWithin(Duration(10));
  }
  CHECK(is_merged);
  harness.AddArchive();
  harness.Record(2, MakeConfiguration(1));
  CHECK(harness.AwaitRecalled(2, kConfigurations).size() == kConfigurations);
}

// Guards against queues of before that a new version forgets.
TEST_CASE("the archive of the first version is taken over") {
  Harness harness;
  harness.Start();
  harness.Put(
      std::string(kFirstQueueArchiveKey),
      R"({"queues": [{"queue": "old", "service": "vision", "route": "1f"}]})");
  FormerQueue old = Queue("old", "vision", "");
  old.route = 0x1f;
  harness.Record(0, MakeConfiguration(1));
  CHECK(harness.AwaitRecalled(0, 1).contains(old));
  CHECK(harness.AwaitRecorded({old}));
  for (int i = 0; i < 200; ++i) {
    if (harness.Entries(std::string(kFirstQueueArchiveKey)).empty()) break;
    Inbox<int64_t> nothing;
    nothing.TakeWithin(Duration(10));
  }
  CHECK(harness.Entries(std::string(kFirstQueueArchiveKey)).empty());
  CHECK(harness.Recorded().contains(old));
}

}  // namespace
}  // namespace azurepass::configuration::internal
