// The simulation's store, configuration and operators.

#include <algorithm>

#include "azurepass/partition/testing/world.h"

namespace azurepass::partition::testing {
namespace {

constexpr Duration kStoreTimeout{400};

}  // namespace

// ---------------------------------------------------------------------------
// The store

void World::ExecuteStoreCommand(const Command& command) {
  if (command.kind == CommandKind::kStoreDown) store_up_ = false;
  if (command.kind == CommandKind::kStoreUp) store_up_ = true;
  if (command.kind == CommandKind::kLoseAnswers)
    lose_answers_ = 1 + command.a % 3;
  if (command.kind == CommandKind::kDelayWrites)
    delay_writes_ = 1 + command.a % 3;
}

void World::LoadJournalFor(size_t index, Epoch epoch) {
  if (!store_up_) {
    DeliverSoon(index, LoadFailed{epoch});
    return;
  }
  JournalLoaded loaded{epoch, snapshot_, {}};
  const int64_t through = snapshot_ ? snapshot_->through : 0;
  for (auto it = journal_.upper_bound(through); it != journal_.end(); ++it) {
    loaded.batches.push_back(it->second);
  }
  DeliverSoon(index, std::move(loaded));
}

void World::AppendFor(size_t index, const Batch& batch) {
  const int64_t incarnation = processes_[index].incarnation;
  const auto later = [this, index, incarnation](Duration delay,
                                                std::function<Event()> event) {
    ScheduleAfter(delay, [this, index, incarnation, event = std::move(event)] {
      if (processes_[index].incarnation == incarnation) {
        Deliver(index, event());
      }
    });
  };
  if (!store_up_) {
    later(RandomLatency(100), [batch]() -> Event {
      return AppendUnavailable{batch.epoch, batch.number};
    });
    return;
  }
  const auto unknown = [batch]() -> Event {
    return AppendUnknown{batch.epoch, batch.number};
  };
  if (lose_answers_ > 0) {
    --lose_answers_;
    if (random_() % 3 != 0) {
      ScheduleAfter(RandomLatency(30), [this, batch] { CreateEntry(batch); });
    }
    later(kStoreTimeout, unknown);
    return;
  }
  if (delay_writes_ > 0) {
    --delay_writes_;
    ScheduleAfter(kStoreTimeout + RandomLatency(1'500),
                  [this, batch] { CreateEntry(batch); });
    later(kStoreTimeout, unknown);
    return;
  }
  ScheduleAfter(RandomLatency(15), [this, batch, later] {
    Event result = AppendResult(batch);
    CreateEntry(batch);
    later(RandomLatency(15), [result]() -> Event { return result; });
  });
}

void World::ReadSilenceFor(size_t index, Epoch epoch) {
  if (!store_up_) {
    DeliverSoon(index, SilenceRead{epoch, false, std::nullopt});
    return;
  }
  processes_[index].silence_version = silence_version_;
  DeliverSoon(index, SilenceRead{epoch, true, silence_});
}

bool World::ReplaceSilence(const SilenceRecord& record, int64_t expected) {
  if (silence_version_ != expected) return false;
  silence_ = record;
  ++silence_version_;
  return true;
}

void World::WriteSilenceFor(size_t index, const SilenceRecord& record) {
  Process& process = processes_[index];
  const int64_t expected = process.silence_version;
  const auto later = [this, record, expected](Duration delay) {
    ScheduleAfter(delay, [=, this] { ReplaceSilence(record, expected); });
  };
  const SilenceWritten failed{record.epoch, false};
  if (!store_up_) return DeliverSoon(index, failed);
  if (lose_answers_ > 0 || delay_writes_ > 0) {
    const bool late = lose_answers_ == 0;
    --(late ? delay_writes_ : lose_answers_);
    later(late ? kStoreTimeout + RandomLatency(1'500) : RandomLatency(30));
    return DeliverSoon(index, failed);
  }
  if (ReplaceSilence(record, expected)) {
    process.silence_version = silence_version_;
    return DeliverSoon(index, SilenceWritten{record.epoch, true});
  }
  if (silence_->epoch <= record.epoch) {
    process.silence_version = silence_version_;
  }
  DeliverSoon(index, failed);
}

Event World::AppendResult(const Batch& batch) const {
  auto there = journal_.find(batch.number);
  if (there == journal_.end()) return Appended{batch.epoch, batch.number};
  return AppendFound{batch.epoch, batch.number, there->second};
}

void World::CreateEntry(const Batch& batch) {
  if (!journal_.emplace(batch.number, batch).second) return;
  if (batch.number > 1 && !journal_.contains(batch.number - 1)) {
    oracle_.AddViolation("the journal has a gap");
  }
  oracle_.OnBatchCreated(batch);
}

// ---------------------------------------------------------------------------
// Operators and the platform

std::shared_ptr<const Configuration> World::MakeConfiguration() const {
  auto configuration = std::make_shared<Configuration>();
  configuration->revision = Revision{revision_};
  for (int team = 0; team < 2; ++team) {
    Contract contract;
    contract.team = Team(team);
    contract.zones = {ZoneId("zone-a"), ZoneId("zone-b")};
    contract.queues = {{QueueId("default"), ServiceId("sorting")}};
    configuration->contracts[contract.team] = contract;
  }
  for (const auto& [zone, out] : zone_out_) {
    configuration->zones[zone] = {zone, !out, revision_};
  }
  return configuration;
}

void World::ExecuteOperatorCommand(const Command& command) {
  const bool out = command.kind == CommandKind::kZoneOut;
  if (out || command.kind == CommandKind::kZoneBack) {
    const ZoneId zone(command.a % 2 == 0 ? "zone-a" : "zone-b");
    if (zone_out_[zone] == out) return;
    zone_out_[zone] = out;
    oracle_.SetZoneOut(zone, out, now_);
    ++revision_;
    Broadcast([this] { return ConfigurationChanged{MakeConfiguration()}; });
  } else if (command.kind == CommandKind::kAllowance) {
    const Resources allowance = Slots(1) * (command.b);
    allowances_[Team(command.a)] = allowance;
    oracle_.SetAllowance(Team(command.a), allowance, now_);
    Broadcast([this] { return AllowancesChanged{allowances_}; });
  } else {
    const auto index = static_cast<size_t>(command.a) % processes_.size();
    DeliverSoon(index, FreshnessChanged{command.kind ==
                                        CommandKind::kConfigurationFresh});
  }
}

}  // namespace azurepass::partition::testing
