// The task that carries out an owner's journal actions.
//
// A load runs in steps, each a message to the store: manifest, chunks one by
// one, then the ring page by page. Appends and snapshots run beside each other;
// of each kind the owner has one under way at a time.

#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>
#include <utility>

#include "azurepass/codec/codec.h"
#include "azurepass/journal/internal/formats.h"
#include "azurepass/journal/journal.h"

namespace azurepass::journal {
namespace {

using internal::Manifest;

// Values of one page of a listing; a slot may hold some 100 KB.
constexpr int64_t kPageSlots = 64;

// --- Answers of the store, with what they belong to

struct ManifestRead {
  store::GetReply reply;
};
struct ChunkRead {
  store::GetReply reply;
};
struct SlotsListed {
  store::ListReply reply;
};
struct BatchWritten {
  Epoch epoch;
  int64_t number = 0;
  store::WriteReply reply;
};
struct SlotRead {
  Epoch epoch;
  int64_t number = 0;
  store::GetReply reply;
};
struct ChunkWritten {
  store::WriteReply reply;
};
struct ManifestWritten {
  Manifest manifest;
  store::WriteReply reply;
};
struct ChunksListed {
  int64_t epoch = 0;
  store::ListReply reply;
};
using Inbox =
    std::variant<Request, ManifestRead, ChunkRead, SlotsListed, BatchWritten,
                 SlotRead, ChunkWritten, ManifestWritten, ChunksListed>;

// A load under way.
struct Load {
  Epoch epoch;
  std::optional<Manifest> manifest;
  std::vector<std::string> chunks;
  std::vector<partition::Batch> batches;
};

// A snapshot under way: chunks are written in order, then the manifest.
struct Snapshotting {
  Epoch epoch;
  Manifest manifest;
  std::vector<std::string> chunks;
  size_t written = 0;
};

// A snapshot's id is "THROUGH-EPOCH".
int64_t EpochOf(const std::string& id) {
  const size_t dash = id.rfind('-');
  if (dash == std::string::npos) return 0;
  return std::strtoll(id.c_str() + dash + 1, nullptr, 10);
}

std::string ChunkKey(const PartitionId& partition, const std::string& id,
                     int64_t chunk) {
  return SnapshotPrefix(partition) + id + "/" + std::to_string(chunk);
}

}  // namespace

std::string SlotPrefix(const PartitionId& partition) {
  return "journal/" + partition.value() + "/";
}

std::string SlotKey(const PartitionId& partition, int64_t number) {
  constexpr int kSlotBytes = 24;
  char slot[kSlotBytes];
  std::snprintf(slot, sizeof(slot), "%06lld",
                static_cast<long long>(number % kSlots));
  return SlotPrefix(partition) + slot;
}

std::string SnapshotPrefix(const PartitionId& partition) {
  return "snapshot/" + partition.value() + "/";
}

std::string ManifestKey(const PartitionId& partition) {
  return SnapshotPrefix(partition) + "manifest";
}

class Writer::Impl {
 public:
  Impl(task::Loop& loop, PartitionId partition,
       task::Address<store::Request> store,
       task::Address<partition::Event> owner)
      : partition_(std::move(partition)),
        store_(std::move(store)),
        owner_(std::move(owner)),
        mailbox_(loop, [this](Inbox inbox) { Handle(inbox); }) {}

  task::Address<Request> address() const { return mailbox_.address(); }

 private:
  void Handle(Inbox& inbox) {
    std::visit([this](auto& message) { On(message); }, inbox);
  }
  void On(Request& request) {
    std::visit([this](auto& r) { Begin(r); }, request);
  }

  // An address whose answers come back here, wrapped by `wrap`.
  template <class Reply, class Wrap>
  task::Address<Reply> Back(Wrap wrap) {
    const task::Address<Inbox> inbox = mailbox_.address();
    return inbox.Map<Reply>([wrap = std::move(wrap)](Reply reply) {
      return Inbox(wrap(std::move(reply)));
    });
  }

  // --- Load

  void Begin(const partition::LoadJournal& request) {
    load_ = Load{request.epoch, std::nullopt, {}, {}};
    store_.Send(store::Get{ManifestKey(partition_),
                           Back<store::GetReply>([](store::GetReply r) {
                             return ManifestRead{std::move(r)};
                           })});
  }

  void On(ManifestRead& read) {
    if (!load_) return;
    const auto* value = std::get_if<store::Value>(&read.reply);
    if (value == nullptr) return FailLoad();
    manifest_version_ = store::kAbsent;
    if (value->entry) {
      manifest_version_ = value->entry->version;
      auto manifest = codec::Try(
          [&] { return codec::Decode<Manifest>(value->entry->value); });
      if (!std::holds_alternative<Manifest>(manifest)) return FailLoad();
      load_->manifest = std::get<Manifest>(std::move(manifest));
    }
    ReadNextChunk();
  }

  void ReadNextChunk() {
    const auto next = static_cast<int64_t>(load_->chunks.size());
    if (!load_->manifest || next == load_->manifest->chunks) {
      ListSlots("");
      return;
    }
    store_.Send(store::Get{ChunkKey(partition_, load_->manifest->id, next),
                           Back<store::GetReply>([](store::GetReply r) {
                             return ChunkRead{std::move(r)};
                           })});
  }

  void On(ChunkRead& read) {
    if (!load_) return;
    auto* value = std::get_if<store::Value>(&read.reply);
    if (value == nullptr || !value->entry) return FailLoad();
    load_->chunks.push_back(std::move(value->entry->value));
    ReadNextChunk();
  }

  void ListSlots(const std::string& from) {
    store::List list{SlotPrefix(partition_), from, kPageSlots, {}};
    list.reply_to = Back<store::ListReply>(
        [](store::ListReply r) { return SlotsListed{std::move(r)}; });
    store_.Send(std::move(list));
  }

  void On(SlotsListed& listed) {
    if (!load_) return;
    const auto* page = std::get_if<store::Listing>(&listed.reply);
    if (page == nullptr) return FailLoad();
    for (const store::Entry& entry : page->entries) {
      std::optional<partition::Batch> batch = DecodeBatch(entry.value);
      if (!batch) return FailLoad();
      versions_[batch->number % kSlots] = entry.version;
      load_->batches.push_back(*std::move(batch));
    }
    if (static_cast<int64_t>(page->entries.size()) < kPageSlots) {
      FinishLoad();
      return;
    }
    // Above the last key and below the next: slot keys are digits of one width.
    // A zero byte would do for any keys, but URIs can't carry one.
    ListSlots(page->entries.back().key + '0');
  }

  void FinishLoad() {
    Load load = *std::exchange(load_, std::nullopt);
    partition::JournalLoaded loaded{load.epoch, std::nullopt, {}};
    covered_ = 0;
    if (load.manifest) {
      loaded.snapshot = DecodeSnapshot(
          load.manifest->through, load.manifest->next_job_number, load.chunks);
      if (!loaded.snapshot) {
        owner_.Send(partition::LoadFailed{load.epoch});
        return;
      }
      covered_ = load.manifest->through;
      current_ = load.manifest;
    }
    for (partition::Batch& batch : load.batches) {
      if (batch.number > covered_) loaded.batches.push_back(std::move(batch));
    }
    std::sort(loaded.batches.begin(), loaded.batches.end(),
              [](const auto& a, const auto& b) { return a.number < b.number; });
    owner_.Send(std::move(loaded));
  }

  void FailLoad() {
    const Epoch epoch = load_->epoch;
    load_.reset();
    owner_.Send(partition::LoadFailed{epoch});
  }

  // --- Appends

  void Begin(const partition::AppendBatch& request) {
    const partition::Batch& batch = request.batch;
    if (batch.number - kSlots > covered_) {
      LOG(WARNING) << "journal full partition=" << partition_.value()
                   << " number=" << batch.number << " snapshot=" << covered_;
      owner_.Send(partition::AppendUnavailable{batch.epoch, batch.number});
      return;
    }
    store::Put put;
    put.key = SlotKey(partition_, batch.number);
    put.value = EncodeBatch(batch);
    put.expected = VersionOf(batch.number);
    put.reply_to = Back<store::WriteReply>(
        [epoch = batch.epoch, number = batch.number](store::WriteReply r) {
          return BatchWritten{epoch, number, std::move(r)};
        });
    store_.Send(std::move(put));
  }

  void On(BatchWritten& written) {
    std::visit(
        Visitor{
            [&](const store::Written& done) {
              versions_[written.number % kSlots] = done.version;
              owner_.Send(partition::Appended{written.epoch, written.number});
            },
            [&](const store::Conflict& conflict) {
              Found(written.epoch, written.number, conflict.current);
            },
            [&](const store::Error& error) {
              if (error.code == store::ErrorCode::kOutcomeUnknown) {
                owner_.Send(
                    partition::AppendUnknown{written.epoch, written.number});
              } else {
                owner_.Send(partition::AppendUnavailable{written.epoch,
                                                         written.number});
              }
            },
        },
        written.reply);
  }

  void Begin(const partition::ReadBack& request) {
    store_.Send(store::Get{
        SlotKey(partition_, request.number),
        Back<store::GetReply>([epoch = request.epoch,
                               number = request.number](store::GetReply r) {
          return SlotRead{epoch, number, std::move(r)};
        })});
  }

  void On(SlotRead& read) {
    std::visit(Visitor{
                   [&](const store::Value& value) {
                     Found(read.epoch, read.number, value.entry);
                   },
                   [&](const store::Error&) {
                     owner_.Send(
                         partition::AppendUnavailable{read.epoch, read.number});
                   },
               },
               read.reply);
  }

  // What the slot of `number` holds. An older batch means that nothing is
  // there yet: what was in the ring before.
  void Found(Epoch epoch, int64_t number,
             const std::optional<store::Entry>& entry) {
    versions_[number % kSlots] = entry ? entry->version : store::kAbsent;
    std::optional<partition::Batch> there;
    if (entry) {
      there = DecodeBatch(entry->value);
      if (!there) {
        owner_.Send(partition::AppendUnavailable{epoch, number});
        return;
      }
      if (there->number < number) there.reset();
    }
    owner_.Send(partition::AppendFound{epoch, number, std::move(there)});
  }

  store::Version VersionOf(int64_t number) const {
    const auto found = versions_.find(number % kSlots);
    return found == versions_.end() ? store::kAbsent : found->second;
  }

  // --- Snapshots

  void Begin(const partition::WriteSnapshot& request) {
    const partition::Snapshot& snapshot = request.snapshot;
    Snapshotting job;
    job.epoch = request.epoch;
    job.chunks = EncodeSnapshot(snapshot, kMaxChunkBytes);
    // The same name for each try, so that a try writes over the one before.
    job.manifest = {snapshot.through, snapshot.next_job_number,
                    std::to_string(snapshot.through) + "-" +
                        std::to_string(request.epoch.value),
                    static_cast<int64_t>(job.chunks.size())};
    snapshotting_ = std::move(job);
    WriteNextChunk();
  }

  void WriteNextChunk() {
    Snapshotting& job = *snapshotting_;
    store::Put put;
    if (job.written == job.chunks.size()) {
      put.key = ManifestKey(partition_);
      put.value = codec::Write(job.manifest).dump();
      put.expected = manifest_version_;
      put.reply_to = Back<store::WriteReply>(
          [manifest = job.manifest](store::WriteReply r) {
            return ManifestWritten{manifest, std::move(r)};
          });
    } else {
      put.key = ChunkKey(partition_, job.manifest.id,
                         static_cast<int64_t>(job.written));
      put.value = job.chunks[job.written];
      put.reply_to = Back<store::WriteReply>(
          [](store::WriteReply r) { return ChunkWritten{std::move(r)}; });
    }
    store_.Send(std::move(put));
  }

  // A chunk whose write is not known to have happened is written again by the
  // owner's next try, under the same name.
  void On(ChunkWritten& written) {
    if (!std::holds_alternative<store::Written>(written.reply)) {
      FinishSnapshot(false);
      return;
    }
    ++snapshotting_->written;
    WriteNextChunk();
  }

  void On(ManifestWritten& written) {
    std::visit(Visitor{
                   [&](const store::Written& done) {
                     TakeManifest(written.manifest, done.version);
                     RemoveOrphans(EpochOf(written.manifest.id));
                     FinishSnapshot(true);
                   },
                   [&](const store::Conflict& conflict) {
                     FinishSnapshot(IsOurs(conflict, written.manifest));
                   },
                   [&](const store::Error&) { FinishSnapshot(false); },
               },
               written.reply);
  }

  // Whether an earlier try of ours took effect though its answer was lost. A
  // former owner's manifest is valid too: the next try replaces it. A later
  // owner's is not ours to replace.
  bool IsOurs(const store::Conflict& conflict, const Manifest& manifest) {
    if (!conflict.current) return false;
    auto there = codec::Try(
        [&] { return codec::Decode<Manifest>(conflict.current->value); });
    const auto* decoded = std::get_if<Manifest>(&there);
    if (decoded == nullptr) return false;
    if (EpochOf(decoded->id) > EpochOf(manifest.id)) return false;
    TakeManifest(*decoded, conflict.current->version);
    return decoded->id == manifest.id;
  }

  void TakeManifest(const Manifest& manifest, store::Version version) {
    manifest_version_ = version;
    covered_ = std::max(covered_, manifest.through);
    if (current_ && current_->id != manifest.id) RemoveChunks(*current_);
    current_ = manifest;
  }

  void FinishSnapshot(bool ok) {
    const Snapshotting job = *std::exchange(snapshotting_, std::nullopt);
    owner_.Send(
        partition::SnapshotWritten{job.epoch, job.manifest.through, ok});
  }

  void RemoveChunks(const Manifest& manifest) {
    for (int64_t chunk = 0; chunk < manifest.chunks; ++chunk) {
      store_.Send(store::Delete{
          ChunkKey(partition_, manifest.id, chunk), std::nullopt, {}});
    }
  }

  // --- Chunks that no manifest names
  //
  // Once our manifest is in force no former owner can write one any more, so
  // that chunks of lower epochs beside it are of no use to anybody. Chunks of
  // higher epochs are left alone: we may have been overtaken.

  void RemoveOrphans(int64_t epoch) {
    if (orphans_removed_) return;
    orphans_removed_ = true;
    store::List list{SnapshotPrefix(partition_), "", kPageSlots, {}};
    list.reply_to = Back<store::ListReply>([epoch](store::ListReply r) {
      return ChunksListed{epoch, std::move(r)};
    });
    store_.Send(std::move(list));
  }

  void On(ChunksListed& listed) {
    const auto* page = std::get_if<store::Listing>(&listed.reply);
    if (page == nullptr) return;
    const size_t prefix = SnapshotPrefix(partition_).size();
    for (const store::Entry& entry : page->entries) {
      const std::string name = entry.key.substr(prefix);
      const size_t slash = name.find('/');
      if (slash == std::string::npos) continue;
      if (EpochOf(name.substr(0, slash)) >= listed.epoch) continue;
      store_.Send(store::Delete{entry.key, entry.version, {}});
    }
  }

  const PartitionId partition_;
  const task::Address<store::Request> store_;
  const task::Address<partition::Event> owner_;
  std::map<int64_t, store::Version> versions_;  // By slot; absent: no key.
  store::Version manifest_version_ = store::kAbsent;
  std::optional<Manifest> current_;  // In force as far as we know.
  int64_t covered_ = 0;              // Batches up to here are in a snapshot.
  bool orphans_removed_ = false;
  std::optional<Load> load_;
  std::optional<Snapshotting> snapshotting_;
  task::Mailbox<Inbox> mailbox_;
};

Writer::Writer(task::Loop& loop, PartitionId partition,
               task::Address<store::Request> store,
               task::Address<partition::Event> owner)
    : impl_(std::make_shared<Impl>(loop, std::move(partition), std::move(store),
                                   std::move(owner))) {}

Writer::~Writer() = default;

task::Address<Request> Writer::address() const { return impl_->address(); }

}  // namespace azurepass::journal
