// The task that translates an owner's requests into requests to the store.

#include <glog/logging.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "azurepass/journal/journal.h"

namespace azurepass::journal {

using partition::AppendBatch;
using partition::AppendFound;
using partition::AppendUnavailable;
using partition::AppendUnknown;
using partition::Batch;
using partition::LoadJournal;
using partition::ReadBack;
using partition::Snapshot;
using partition::WriteSnapshot;

namespace {

// Runs on the writer's loop when a reply of the store has arrived.
struct Continuation {
  std::shared_ptr<std::function<void()>> run;
};
using Message = std::variant<Request, Continuation>;

// Returns the decoded value, or nothing if it can't be decoded.
template <class T, class Decode>
std::optional<T> TryDecode(Decode decode) {
  auto outcome = codec::Try(decode);
  if (auto* value = std::get_if<0>(&outcome)) return std::move(*value);
  return std::nullopt;
}

std::optional<Batch> TryDecodeBatch(const std::string& value) {
  return TryDecode<Batch>([&] { return DecodeBatch(value); });
}

}  // namespace

class Writer::Impl {
 public:
  Impl(task::Loop& loop, Options options, PartitionId partition,
       task::Address<store::Request> store,
       task::Address<partition::Event> owner)
      : options_(options),
        partition_(std::move(partition)),
        store_(std::move(store)),
        owner_(std::move(owner)),
        mailbox_(loop, [this](Message m) { Handle(std::move(m)); }) {}

  task::Address<Request> address() const { return mailbox_.address(); }

 private:
  // A load of the journal in progress.
  struct Load {
    int64_t serial = 0;  // Distinguishes the replies of consecutive loads.
    Epoch epoch;
    int attempts = 0;
    store::Version manifest_version = store::kAbsent;
    std::optional<Manifest> manifest;
    Snapshot snapshot;
    int64_t chunks = 0;  // Read so far.
  };
  // A snapshot write in progress.
  struct Save {
    Manifest manifest;
    std::vector<std::string> chunks;
    size_t written = 0;
    bool retried = false;
  };

  void Handle(Message message) {
    std::visit(Visitor{[this](Request& request) {
                         std::visit([this](auto& r) { On(std::move(r)); },
                                    request);
                       },
                       [](Continuation& c) { (*c.run)(); }},
               message);
  }

  // Returns an address that calls `next` with the reply on this task.
  template <class Reply>
  task::Address<Reply> CallbackAddress(std::function<void(Reply)> next) {
    return mailbox_.address().Map<Reply>([next](Reply reply) {
      auto held = std::make_shared<Reply>(std::move(reply));
      return Message(Continuation{std::make_shared<std::function<void()>>(
          [next, held] { next(std::move(*held)); })});
    });
  }
  void Get(std::string key, std::function<void(store::GetReply)> next) {
    store_.Send(store::Get{std::move(key),
                           CallbackAddress<store::GetReply>(std::move(next))});
  }
  void Put(std::string key, std::string value,
           std::optional<store::Version> expected,
           std::function<void(store::WriteReply)> next) {
    store_.Send(
        store::Put{std::move(key), std::move(value), expected, "",
                   CallbackAddress<store::WriteReply>(std::move(next))});
  }

  // --- Loading
  void On(LoadJournal request);
  void StartLoad(Load load);
  void OnManifest(int64_t serial, const store::GetReply& reply);
  void ReadNextChunk();
  void OnChunk(int64_t serial, const store::GetReply& reply);
  void ReadBatches();
  void OnBatches(int64_t serial, const store::ListReply& reply);
  void Retry();
  void FailLoad();
  bool IsCurrent(int64_t serial) const {
    return load_ && load_->serial == serial;
  }

  // --- Appending
  void On(const AppendBatch& request);
  void On(ReadBack request);
  void OnAppendReply(const Batch& batch, store::WriteReply reply);
  void OnReadBack(const ReadBack& request, store::GetReply reply);
  partition::Event ResultFromSlot(Epoch epoch, int64_t number,
                                  const std::optional<store::Entry>& entry);
  int64_t SlotOf(int64_t number) const { return number % options_.slots; }

  // --- Snapshots
  void On(const WriteSnapshot& request);
  void WriteNextChunk();
  void WriteManifest();
  void OnManifestWritten(store::WriteReply reply);
  void ResolveManifest();
  void OnManifestStored();
  void RemoveOlderChunks();
  void FinishSave(bool ok);

  // --- The silence record
  void On(const partition::ReadSilence& request);
  void On(const partition::WriteSilence& request);
  // Returns the record; empty if there is none, or none that can be read.
  std::optional<partition::SilenceRecord> TakeSilence(
      const std::optional<store::Entry>& entry);

  const Options options_;
  const PartitionId partition_;
  task::Address<store::Request> store_;
  task::Address<partition::Event> owner_;

  std::optional<Load> load_;
  int64_t last_serial_ = 0;
  std::optional<Save> save_;

  // Versions of the slots, as seen by the load and by this writer's own writes,
  // and never taken from an unrelated conflict. At that version, the slot's
  // batch is part of the journal that the owner has applied.
  std::map<int64_t, store::Version> slot_versions_;
  std::optional<Batch> last_batch_;  // Of the latest append attempt.
  store::Version manifest_version_ = store::kAbsent;
  int64_t manifest_through_ = 0;  // Of the latest manifest known here.
  store::Version silence_version_ = store::kAbsent;  // That was seen last.

  task::Mailbox<Message> mailbox_;  // Last, so that it is destroyed first.
};

// ---------------------------------------------------------------------------
// Loading

void Writer::Impl::On(LoadJournal request) {
  Load load;
  load.epoch = request.epoch;
  save_.reset();
  StartLoad(std::move(load));
}

void Writer::Impl::StartLoad(Load load) {
  load.serial = ++last_serial_;
  load.manifest.reset();
  load.snapshot = Snapshot();
  load.chunks = 0;
  load_ = std::move(load);
  Get(ManifestKey(partition_),
      [this, serial = load_->serial](const store::GetReply& reply) {
        OnManifest(serial, reply);
      });
}

void Writer::Impl::OnManifest(int64_t serial, const store::GetReply& reply) {
  if (!IsCurrent(serial)) return;
  const auto* value = std::get_if<store::Value>(&reply);
  if (value == nullptr) {
    FailLoad();
    return;
  }
  load_->manifest_version = store::kAbsent;
  if (value->entry) {
    load_->manifest_version = value->entry->version;
    load_->manifest = TryDecode<Manifest>(
        [&] { return DecodeManifest(value->entry->value); });
    if (!load_->manifest) {
      FailLoad();
      return;
    }
    load_->snapshot.through = load_->manifest->through;
    load_->snapshot.next_job_number = load_->manifest->next_job_number;
  }
  ReadNextChunk();
}

void Writer::Impl::ReadNextChunk() {
  const int64_t chunks = load_->manifest ? load_->manifest->chunks : 0;
  if (load_->chunks >= chunks) {
    ReadBatches();
    return;
  }
  const Manifest& manifest = *load_->manifest;
  Get(ChunkKey(partition_, manifest.epoch, manifest.through, load_->chunks),
      [this, serial = load_->serial](const store::GetReply& reply) {
        OnChunk(serial, reply);
      });
}

void Writer::Impl::OnChunk(int64_t serial, const store::GetReply& reply) {
  if (!IsCurrent(serial)) return;
  const auto* value = std::get_if<store::Value>(&reply);
  if (value == nullptr) {
    FailLoad();
    return;
  }
  if (!value->entry) {
    Retry();  // A newer snapshot has replaced it.
    return;
  }
  const auto decoded = TryDecode<bool>([&]() -> leaf::result<bool> {
    BOOST_LEAF_CHECK(DecodeChunk(value->entry->value, load_->snapshot));
    return true;
  });
  if (!decoded) {
    FailLoad();
    return;
  }
  ++load_->chunks;
  ReadNextChunk();
}

void Writer::Impl::ReadBatches() {
  store_.Send(store::List{
      BatchPrefix(partition_), "", options_.slots + 1,
      CallbackAddress<store::ListReply>(
          [this, serial = load_->serial](const store::ListReply& reply) {
            OnBatches(serial, reply);
          })});
}

void Writer::Impl::OnBatches(int64_t serial, const store::ListReply& reply) {
  if (!IsCurrent(serial)) return;
  const auto* listing = std::get_if<store::Listing>(&reply);
  if (listing == nullptr) {
    FailLoad();
    return;
  }
  std::map<int64_t, store::Version> slots;
  std::map<int64_t, Batch> batches;
  for (const store::Entry& entry : listing->entries) {
    std::optional<Batch> batch = TryDecodeBatch(entry.value);
    if (!batch) {
      FailLoad();
      return;
    }
    const int64_t number = batch->number;
    slots[SlotOf(number)] = entry.version;
    if (number > load_->snapshot.through) batches[number] = *std::move(batch);
  }
  int64_t next = load_->snapshot.through + 1;
  partition::JournalLoaded loaded{load_->epoch, std::nullopt, {}};
  for (auto& [number, batch] : batches) {
    if (number != next++) {
      Retry();
      return;
    }
    loaded.batches.push_back(std::move(batch));
  }
  if (load_->manifest) loaded.snapshot = std::move(load_->snapshot);
  slot_versions_ = std::move(slots);
  manifest_version_ = load_->manifest_version;
  manifest_through_ = load_->manifest ? load_->manifest->through : 0;
  load_.reset();
  owner_.Send(std::move(loaded));
}

void Writer::Impl::Retry() {
  if (++load_->attempts >= options_.load_attempts) {
    FailLoad();
    return;
  }
  StartLoad(*std::move(load_));
}

void Writer::Impl::FailLoad() {
  const Epoch epoch = load_->epoch;
  load_.reset();
  owner_.Send(partition::LoadFailed{epoch});
}

// ---------------------------------------------------------------------------
// Appending

void Writer::Impl::On(const AppendBatch& request) {
  const Batch& batch = request.batch;
  // A load may still need the batch that this one would replace.
  if (batch.number > manifest_through_ + options_.slots) {
    owner_.Send(AppendUnavailable{batch.epoch, batch.number});
    return;
  }
  last_batch_ = batch;
  const int64_t slot = SlotOf(batch.number);
  auto known = slot_versions_.find(slot);
  const store::Version expected =
      known == slot_versions_.end() ? store::kAbsent : known->second;
  Put(BatchKey(partition_, slot), EncodeBatch(batch), expected,
      [this, batch](store::WriteReply reply) {
        OnAppendReply(batch, std::move(reply));
      });
}

void Writer::Impl::OnAppendReply(const Batch& batch, store::WriteReply reply) {
  std::visit(
      Visitor{[&](const store::Written& written) {
                slot_versions_[SlotOf(batch.number)] = written.version;
                owner_.Send(partition::Appended{batch.epoch, batch.number});
              },
              [&](const store::Conflict& conflict) {
                owner_.Send(ResultFromSlot(batch.epoch, batch.number,
                                           conflict.current));
              },
              [&](const store::Error& error) {
                if (error.code == store::ErrorCode::kOutcomeUnknown) {
                  owner_.Send(AppendUnknown{batch.epoch, batch.number});
                } else {
                  owner_.Send(AppendUnavailable{batch.epoch, batch.number});
                }
              }},
      reply);
}

void Writer::Impl::On(ReadBack request) {
  Get(BatchKey(partition_, SlotOf(request.number)),
      [this, request](store::GetReply reply) {
        OnReadBack(request, std::move(reply));
      });
}

void Writer::Impl::OnReadBack(const ReadBack& request, store::GetReply reply) {
  if (const auto* value = std::get_if<store::Value>(&reply)) {
    owner_.Send(ResultFromSlot(request.epoch, request.number, value->entry));
  } else {
    owner_.Send(AppendUnavailable{request.epoch, request.number});
  }
}

// Returns the event that tells the owner whether batch `number` is stored,
// given the contents of its slot. An older batch in the slot means that it is
// not.
partition::Event Writer::Impl::ResultFromSlot(
    Epoch epoch, int64_t number, const std::optional<store::Entry>& entry) {
  if (!entry) return AppendFound{epoch, number, std::nullopt};
  std::optional<Batch> stored = TryDecodeBatch(entry->value);
  if (!stored) return AppendUnknown{epoch, number};
  if (stored->number < number) return AppendFound{epoch, number, std::nullopt};
  const bool ours = last_batch_ && stored->number == last_batch_->number &&
                    stored->epoch == last_batch_->epoch &&
                    stored->nonce == last_batch_->nonce;
  // If this owner's fencing append conflicts with the last batch of a former
  // owner, that batch becomes part of the journal and its version is recorded.
  const bool former = stored->number == number && stored->epoch < epoch;
  if (ours || former) slot_versions_[SlotOf(number)] = entry->version;
  return AppendFound{epoch, number, std::move(stored)};
}

// ---------------------------------------------------------------------------
// Snapshots

void Writer::Impl::On(const WriteSnapshot& request) {
  Save save;
  save.manifest = {request.epoch, request.snapshot.through,
                   request.snapshot.next_job_number, 0};
  save.chunks = EncodeChunks(request.snapshot, options_.chunk_bytes);
  save.manifest.chunks = std::ssize(save.chunks);
  save_ = std::move(save);
  WriteNextChunk();
}

void Writer::Impl::WriteNextChunk() {
  if (save_->written == save_->chunks.size()) {
    WriteManifest();
    return;
  }
  const Manifest& manifest = save_->manifest;
  const size_t index = save_->written++;
  Put(ChunkKey(partition_, manifest.epoch, manifest.through,
               static_cast<int64_t>(index)),
      std::move(save_->chunks[index]), std::nullopt,
      [this, epoch = manifest.epoch](const store::WriteReply& reply) {
        if (!save_ || save_->manifest.epoch != epoch) return;
        if (std::holds_alternative<store::Written>(reply)) {
          WriteNextChunk();
        } else {
          FinishSave(false);
        }
      });
}

void Writer::Impl::WriteManifest() {
  Put(ManifestKey(partition_), EncodeManifest(save_->manifest),
      manifest_version_,
      [this, epoch = save_->manifest.epoch](store::WriteReply reply) {
        if (save_ && save_->manifest.epoch == epoch) {
          OnManifestWritten(std::move(reply));
        }
      });
}

void Writer::Impl::OnManifestWritten(store::WriteReply reply) {
  if (const auto* written = std::get_if<store::Written>(&reply)) {
    manifest_version_ = written->version;
    OnManifestStored();
    return;
  }
  const auto* error = std::get_if<store::Error>(&reply);
  if (error != nullptr && error->code != store::ErrorCode::kOutcomeUnknown) {
    FinishSave(false);
    return;
  }
  ResolveManifest();
}

// Reads the current manifest. It may be the one that this writer wrote, or one
// of a former owner that may be replaced.
void Writer::Impl::ResolveManifest() {
  Get(ManifestKey(partition_),
      [this, epoch = save_->manifest.epoch](const store::GetReply& reply) {
        if (!save_ || save_->manifest.epoch != epoch) return;
        const auto* value = std::get_if<store::Value>(&reply);
        if (value == nullptr || !value->entry) {
          FinishSave(false);
          return;
        }
        const auto stored = TryDecode<Manifest>(
            [&] { return DecodeManifest(value->entry->value); });
        const Manifest& ours = save_->manifest;
        const bool replaceable = stored && stored->epoch <= ours.epoch;
        if (replaceable && stored->epoch == ours.epoch &&
            stored->through == ours.through) {
          manifest_version_ = value->entry->version;
          OnManifestStored();
        } else if (replaceable && stored->through < ours.through &&
                   !save_->retried) {
          save_->retried = true;
          manifest_version_ = value->entry->version;
          WriteManifest();
        } else {
          FinishSave(false);
        }
      });
}

void Writer::Impl::OnManifestStored() {
  manifest_through_ = std::max(manifest_through_, save_->manifest.through);
  RemoveOlderChunks();
  FinishSave(true);
}

// Deletes the chunks of older snapshots. Keys sort by epoch, then by the number
// of the last batch covered. Chunks whose deletion fails are deleted after the
// next snapshot.
void Writer::Impl::RemoveOlderChunks() {
  const std::string first_own_chunk =
      ChunkKey(partition_, save_->manifest.epoch, save_->manifest.through, 0);
  store_.Send(store::List{
      SnapshotPrefix(partition_), "", 1'000,
      CallbackAddress<store::ListReply>(
          [this, first_own_chunk](const store::ListReply& reply) {
            const auto* listing = std::get_if<store::Listing>(&reply);
            if (listing == nullptr) return;
            for (const store::Entry& entry : listing->entries) {
              if (entry.key < first_own_chunk) {
                store_.Send(store::Delete{entry.key, std::nullopt, {}});
              }
            }
          })});
}

void Writer::Impl::FinishSave(bool ok) {
  const Manifest manifest = save_->manifest;
  save_.reset();
  owner_.Send(partition::SnapshotWritten{manifest.epoch, manifest.through, ok});
}

// ---------------------------------------------------------------------------
// The silence record

void Writer::Impl::On(const partition::ReadSilence& request) {
  Get(SilenceKey(partition_),
      [this, epoch = request.epoch](const store::GetReply& reply) {
        partition::SilenceRead read{epoch, false, std::nullopt};
        if (const auto* value = std::get_if<store::Value>(&reply)) {
          read.ok = true;
          read.record = TakeSilence(value->entry);
        }
        owner_.Send(std::move(read));
      });
}

std::optional<partition::SilenceRecord> Writer::Impl::TakeSilence(
    const std::optional<store::Entry>& entry) {
  silence_version_ = entry ? entry->version : store::kAbsent;
  if (!entry) return std::nullopt;
  auto record = TryDecode<partition::SilenceRecord>(
      [&] { return DecodeSilence(entry->value); });
  if (!record) {
    LOG(WARNING) << "event=silence_record_unreadable partition="
                 << partition_.value() << " version=" << entry->version;
  }
  return record;
}

void Writer::Impl::On(const partition::WriteSilence& request) {
  const Epoch epoch = request.record.epoch;
  Put(SilenceKey(partition_), EncodeSilence(request.record), silence_version_,
      [this, epoch](const store::WriteReply& reply) {
        const auto* written = std::get_if<store::Written>(&reply);
        if (written != nullptr) silence_version_ = written->version;
        if (const auto* conflict = std::get_if<store::Conflict>(&reply)) {
          const store::Version before = silence_version_;
          const auto there = TakeSilence(conflict->current);
          if (there && there->epoch > epoch) silence_version_ = before;
        }
        owner_.Send(partition::SilenceWritten{epoch, written != nullptr});
      });
}

// ---------------------------------------------------------------------------

Writer::Writer(task::Loop& loop, Options options, PartitionId partition,
               task::Address<store::Request> store,
               task::Address<partition::Event> owner)
    : impl_(std::make_unique<Impl>(loop, options, std::move(partition),
                                   std::move(store), std::move(owner))) {}
Writer::~Writer() = default;

task::Address<Request> Writer::address() const { return impl_->address(); }

}  // namespace azurepass::journal
