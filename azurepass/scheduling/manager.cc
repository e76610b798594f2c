// Claims, hands over and looks up partitions.
//
// A claim is a value in the store that names the holder and its epoch. It is
// taken by a conditional write of the next epoch, when nobody holds it or the
// holder's member key is gone. A write whose outcome is unknown is never taken
// for a success: the next view shows what is there, and if that is us, the
// claim is simply written again with a higher epoch.
//
// Authority. A successor that cannot reach a worker takes it to have stopped
// all tasks one worker lease (and a margin) after the takeover. So nobody may
// renew that lease longer than somebody else may have taken over: this process
// sends nothing to workers once its member lease may have lapsed, unless every
// other member shows that the store is out for all, so that nobody can have
// taken anything over. The margin covers the age of that evidence, so that it
// holds to its end also when a member regains contact before: without that,
// every return of the store would depose all owners.
//
// A member lease that may have lapsed need not have: the answer to a renewal
// may only be late. So partitions are kept without authority, answering nobody,
// for as long as the store has not said that this lease is gone. If it is
// renewed, the member key was there all the time, nobody can have claimed
// anything, and the owners go on in their epoch. Under any other lease they
// start anew.

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

#include "azurepass/logging/logging.h"
#include "azurepass/scheduling/internal/claim_news.h"
#include "azurepass/scheduling/internal/former_owner.h"
#include "azurepass/scheduling/internal/holding.h"
#include "azurepass/scheduling/internal/partition_task.h"
#include "azurepass/scheduling/internal/peer_news.h"
#include "azurepass/scheduling/internal/report.h"
#include "azurepass/scheduling/internal/workers_of.h"
#include "azurepass/scheduling/scheduling.h"

namespace azurepass::scheduling {
namespace {

using Clock = BootClock;

constexpr Duration kRetryAfter{200};
// A held claim is written at most this often, so that a store that refuses
// everything is not asked in a tight loop.
constexpr Duration kClaimInterval{200};
// Lines about claims that were not taken, of all partitions in a second.
constexpr int64_t kRefusedLinesPerSecond = 20;

// How a request tells which partition it is about.
template <class Request>
concept NamesPartition = requires(const Request& request) {
  request.partition;
};
template <class Request>
concept NamesJob = requires(const Request& request) {
  request.job;
  request.team;
};

struct ClaimWritten {
  PartitionId partition;
  Epoch epoch;
  store::WriteReply reply;
};
using Inbox = std::variant<Message, Notice, ClaimWritten, membership::Left>;

partition::Options OwnerOptions(const Options& manager) {
  const settings::CellSettings& cell = manager.cell;
  partition::Options options = manager.owner;
  options.append_spacing = cell.timing.append_spacing;
  options.snapshot_every = cell.budgets.snapshot_every;
  options.max_queued_tasks = cell.budgets.queue_bound;
  options.worker_lease = cell.timing.worker_lease;
  options.worker_lease_margin = cell.timing.worker_lease_margin;
  options.retention_after_end = cell.timing.kept_after_end;
  return options;
}

}  // namespace

class Manager::Impl {
 public:
  Impl(task::Loop& loop, Options options, Peers peers)
      : loop_(loop),
        options_(std::move(options)),
        peers_(std::move(peers)),
        mailbox_(loop, [this](Inbox inbox) { Handle(inbox); }),
        claim_timer_(loop),
        authority_timer_(loop),
        pause_timer_(loop) {
    for (const auto& partition : options_.cell.partitions) {
      AddPartition(partition);
    }
    claim_timer_.Every(kClaimInterval, [this] { Reconsider(); });
  }

  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  struct Partition {
    std::unique_ptr<PartitionTask> task;
    ServiceId service;
    Holding holding;
    StatusNotice notice;               // The latest.
    std::optional<Epoch> first_tried;  // See RenewalsEndedBy.
    // Of the latest claim.
    MonotonicTime claim_sent{};
    std::optional<MonotonicTime> renewals_ended;  // See RenewalsEndedBy.
    MonotonicTime claim_taken{};
    // Of the latest claim that was given back without having been held.
    MonotonicTime given_back{};
    store::Version left = store::kAbsent;
    std::string claim_text;  // Whom it was taken from, and why.
    ClaimFigures claims;
  };

  void AddPartition(const settings::PartitionSettings& settings) {
    PartitionTaskOptions options;
    options.partition = settings;
    options.owner = OwnerOptions(options_);
    options.owner.service = settings.service;
    options.nonce = options_.nonce;
    PartitionTaskPeers peers{peers_.store, peers_.workers, peers_.broker,
                             peers_.permits, mailbox_.address()};
    Partition& partition = partitions_[settings.id];
    partition.task =
        std::make_unique<PartitionTask>(loop_, std::move(options), peers);
    partition.service = settings.service;
    if (configuration_) partition.task->address().Send(*configuration_);
  }

  // Partitions are added and never taken away: a service's number is fixed.
  void OnLayouts(const layout::Update& update) {
    layouts_ = update.layouts;
    if (!options_.partitions_from_layouts) return;
    membership::SetPartitions set;
    for (const auto& [service, layout] : *layouts_) {
      for (const PartitionId& id : layout::PartitionsOf(layout)) {
        if (!partitions_.contains(id)) AddPartition({id, service, {}});
      }
    }
    for (const auto& [id, partition] : partitions_) {
      set.partitions.push_back(id);
    }
    peers_.membership.Send(std::move(set));
    TellWorkers();
  }

  void Handle(Inbox& inbox) {
    std::visit(Visitor{
                   [this](Message& message) { OnMessage(message); },
                   [this](const Notice& notice) { OnNotice(notice); },
                   [this](const ClaimWritten& w) { OnClaimWritten(w); },
                   [this](const membership::Left&) {
                     if (shutdown_) shutdown_->done.Send(ShutdownDone{});
                   },
               },
               inbox);
  }

  void OnMessage(Message& message) {
    std::visit(Visitor{
                   [this](membership::View& view) { OnView(view); },
                   [this](membership::LeaseFailed& failed) {
                     last_failure_ = std::move(failed);
                   },
                   [this](const configuration::Update& update) {
                     OnConfiguration(update);
                   },
                   [this](const vmlist::Update& update) { OnVmList(update); },
                   [this](const layout::Update& update) { OnLayouts(update); },
                   [this](entry::Incoming& incoming) { OnIncoming(incoming); },
                   [this](const Shutdown& shutdown) { OnShutdown(shutdown); },
                   [this](const metrics::Scrape& scrape) {
                     scrape.reply_to.Send(
                         MakeReport(Notices(), Claims(), view_.known));
                   },
               },
               message);
  }

  // --- Claims

  void OnView(membership::View& view) {
    const bool same_lease = !view.lease.empty() && view.lease == view_.lease;
    if (!same_lease && !HasAuthority()) GiveUpAll("lease_lost");
    view_ = std::move(view);
    TellKeeperOfPeers();
    peers_.permits.Send(PermitPeers(view_, options_.member));
    UpdateAuthority();
    Reconsider();
  }

  // --- Authority

  MonotonicTime AuthorityUntil() const {
    MonotonicTime until = std::max(authority_until_, view_.lease_valid_until);
    // During a pause others may have claimed before they were cut off.
    if (configuration_ && configuration_->others_cut_until &&
        !authority_paused_) {
      until = std::max(until, *configuration_->others_cut_until);
    }
    return until;
  }

  void UpdateAuthority() {
    if (authority_paused_ && Clock::now() < view_.lease_valid_until) {
      authority_paused_ = false;
      pause_timer_.Cancel();
      LOG(INFO) << "event=authority outcome=resumed lease=" << view_.lease;
    }
    const MonotonicTime until = AuthorityUntil();
    if (until == authority_until_) return;
    authority_until_ = until;
    peers_.workers.Send(endpoint::Authorize{until});
    const Duration left = std::chrono::ceil<Duration>(until - Clock::now());
    authority_timer_.After(std::max(Duration(0), left),
                           [this] { OnAuthorityEnd(); });
  }

  bool HasAuthority() const { return Clock::now() < AuthorityUntil(); }

  void OnAuthorityEnd() {
    if (HasAuthority()) return;
    if (view_.lease.empty() || shutdown_) return GiveUpAll("lease_lost");
    authority_paused_ = true;
    LOG(WARNING) << "event=authority outcome=paused lease=" << view_.lease
                 << AuthorityText(EndedAuthority(), Clock::now());
    for (auto& [id, partition] : partitions_) {
      const bool keep = std::holds_alternative<Held>(partition.holding);
      if (!keep) GiveUp(id, partition, "authority_ended");
    }
    pause_timer_.After(options_.cell.timing.member_lease,
                       [this] { OnLongPause(); });
  }

  // The renewals may arrive without their answers, so that nobody else may
  // claim. Workers' leases run out before long: others have to take over.
  void OnLongPause() {
    if (!authority_paused_) return;
    GiveUpAll("long_pause");
    peers_.membership.Send(membership::GiveLeaseBack{});
  }

  void GiveUpAll(const char* reason) {
    authority_paused_ = false;
    for (auto& [id, partition] : partitions_) GiveUp(id, partition, reason);
  }

  void GiveUp(const PartitionId& id, Partition& partition, const char* reason) {
    if (!EpochOf(partition.holding)) return;
    LogLost(id, partition, reason,
            AuthorityText(EndedAuthority(), Clock::now()));
    partition.task->address().Send(Lose{});
    partition.holding = NotHeld{};
  }

  // With how late its end was noticed.
  Authority EndedAuthority() const {
    Authority authority = CurrentAuthority();
    authority.timer_late = Clock::now() - authority_until_;
    return authority;
  }

  Authority CurrentAuthority() const {
    Authority authority{
        AuthorityUntil(), view_.lease_renewed, last_failure_, {}, {}};
    if (configuration_) {
      authority.store_contact_age = configuration_->store_contact_age;
    }
    return authority;
  }

  // The claim that `partition.holding` still shows.
  void LogLost(const PartitionId& id, Partition& partition,
               const std::string& reason, const std::string& text) {
    const MonotonicTime now = Clock::now();
    const bool taken = !std::holds_alternative<Claiming>(partition.holding);
    ++partition.claims.lost[reason];
    LOG(WARNING) << "event=claim_lost partition=" << id.value()
                 << " epoch=" << EpochOf(partition.holding)->value
                 << " member=" << options_.member.value()
                 << " reason=" << reason << " held_ms="
                 << (taken ? MillisSince(partition.claim_taken, now) : 0)
                 << text;
  }

  void LogTakenOver(const PartitionId& id, Partition& partition) {
    const membership::Claim& claim = view_.claims.at(id);
    LogLost(id, partition, "taken_over",
            " holder=" + claim.member.value() +
                " holder_epoch=" + std::to_string(claim.epoch.value) +
                AuthorityText(CurrentAuthority(), Clock::now()));
  }

  static int64_t MillisSince(MonotonicTime at, MonotonicTime now) {
    return std::chrono::duration_cast<Duration>(now - at).count();
  }

  void Reconsider() {
    if (!view_.known) return;
    const std::set<PartitionId> wanted(view_.wanted.begin(),
                                       view_.wanted.end());
    for (auto& [id, partition] : partitions_) {
      Reconsider(id, partition, wanted.contains(id) && !shutdown_);
    }
    FinishShutdown();
  }

  void Reconsider(const PartitionId& id, Partition& partition, bool wanted) {
    std::visit(
        Visitor{
            [&](const NotHeld&) {
              const bool may = view_.lease_ok && HasAuthority();
              if (may && view_.leave.contains(id) &&
                  IsOfFormerStart(view_, id, options_.member)) {
                GiveBack(id, partition);
              } else if (may && !shutdown_ &&
                         ((wanted && IsClaimable(view_, id, options_.member,
                                                 Clock::now())) ||
                          IsOfFormerStart(view_, id, options_.member))) {
                Claim(id, partition, wanted ? "assigned" : "to_give_back");
              }
            },
            [](const Claiming&) {},
            [&](const Held& held) {
              if (IsTakenOver(view_, id, held.epoch)) {
                LogTakenOver(id, partition);
                partition.task->address().Send(Lose{});
                partition.holding = NotHeld{};
              } else if (MayRelocate(id) ||
                         (!wanted && (shutdown_ || !options_.sticky))) {
                partition.task->address().Send(Release{});
                partition.holding = HandingOver{held.epoch, held.version};
              }
            },
            [&](const HandingOver& held) {
              if (IsTakenOver(view_, id, held.epoch)) {
                LogTakenOver(id, partition);
                partition.task->address().Send(Lose{});
                partition.holding = NotHeld{};
              }
            },
        },
        Holding(partition.holding));
  }

  void Claim(const PartitionId& id, Partition& partition,
             const std::string& why) {
    const auto claim = view_.claims.find(id);
    const bool absent = claim == view_.claims.end();
    const Epoch epoch{absent ? 1 : claim->second.epoch.value + 1};
    partition.holding = Claiming{epoch};
    partition.claim_sent = Clock::now();
    partition.renewals_ended =
        RenewalsEndedBy(view_, id, options_.member, partition.first_tried,
                        Told(), partition.claim_sent);
    partition.first_tried = partition.first_tried.value_or(epoch);
    partition.claim_text =
        " why=" + why +
        FormerHolderText(view_, id, options_.member, partition.claim_sent) +
        CandidatesText(view_, options_.member,
                       options_.cell.timing.member_lease,
                       partition.claim_sent) +
        RenewalsText(partition.renewals_ended, partition.claim_sent);
    WriteClaim(id, {id, options_.member, epoch},
               absent ? store::kAbsent : claim->second.version);
  }

  // An owner that goes on by evidence of an outage has nobody to hand over to.
  bool MayRelocate(const PartitionId& id) const {
    return view_.relocate == id && view_.lease_ok && !authority_paused_ &&
           HasAuthority();
  }

  // Leaves the claim of a former start to a member with more room. What the
  // former start had open is closed: it has ended or lost its authority.
  void GiveBack(const PartitionId& id, Partition& partition) {
    const MonotonicTime now = Clock::now();
    if (now - partition.given_back < kClaimInterval) return;
    partition.given_back = now;
    const membership::Claim& claim = view_.claims.at(id);
    if (partition.left != claim.version) {
      partition.left = claim.version;
      ++partition.claims.handed_over;
      LOG(INFO) << "handover partition=" << id.value()
                << " epoch=" << claim.epoch.value
                << " member=" << options_.member.value()
                << " why=left held_ms=0";
    }
    WriteClaim(id, {id, MemberId(), claim.epoch}, claim.version);
  }

  ContactTold Told() const {
    ContactTold told{started_, std::nullopt,
                     options_.cell.timing.freshness_max_age};
    if (configuration_) told.denied = configuration_->contact_denied;
    return told;
  }

  void WriteClaim(const PartitionId& id, const membership::ClaimRecord& record,
                  store::Version expected) {
    const task::Address<Inbox> inbox = mailbox_.address();
    store::Put put;
    put.key = membership::StoreKey(id);
    put.value = membership::Encode(record);
    put.expected = expected;
    put.reply_to = inbox.Map<store::WriteReply>(
        [id, epoch = record.epoch](store::WriteReply reply) {
          return Inbox(ClaimWritten{id, epoch, std::move(reply)});
        });
    peers_.store.Send(std::move(put));
  }

  void OnClaimWritten(const ClaimWritten& written) {
    Partition& partition = partitions_.at(written.partition);
    const auto* claiming = std::get_if<Claiming>(&partition.holding);
    if (claiming == nullptr || claiming->epoch != written.epoch) return;
    const auto* done = std::get_if<store::Written>(&written.reply);
    if (done == nullptr || !HasAuthority()) {
      LogNotTaken(written, partition);
      partition.holding = NotHeld{};
      return;
    }
    partition.claim_taken = Clock::now();
    ++partition.claims.taken;
    LOG(INFO) << "claim partition=" << written.partition.value()
              << " epoch=" << written.epoch.value
              << " member=" << options_.member.value() << " took_ms="
              << MillisSince(partition.claim_sent, partition.claim_taken)
              << partition.claim_text
              << AuthorityText(CurrentAuthority(), partition.claim_taken);
    partition.holding = Held{written.epoch, done->version};
    TellWorkers(written.partition, partition);
    partition.task->address().Send(
        Hold{written.epoch, partition.renewals_ended});
  }

  void LogNotTaken(const ClaimWritten& written, Partition& partition) {
    const MonotonicTime now = Clock::now();
    const std::string reason(WhyNotTaken(written.reply));
    ++partition.claims.refused[reason];
    if (!refused_lines_.Take(now)) return;
    LOG(INFO) << "event=claim_refused partition=" << written.partition.value()
              << " epoch=" << written.epoch.value
              << " member=" << options_.member.value() << " reason=" << reason
              << NotTakenText(written.reply)
              << " took_ms=" << MillisSince(partition.claim_sent, now)
              << partition.claim_text << AuthorityText(CurrentAuthority(), now)
              << logging::LeftOutText(refused_lines_.TakeLeftOut());
  }

  // --- Notices of partitions

  void OnNotice(const Notice& notice) {
    std::visit(Visitor{
                   [this](const HandedOver& n) { OnHandedOver(n); },
                   [this](const WasDeposed& n) {
                     Partition& partition = partitions_.at(n.partition);
                     if (EpochOf(partition.holding) == n.epoch) {
                       LogLost(n.partition, partition, "deposed",
                               AuthorityText(CurrentAuthority(), Clock::now()));
                       partition.holding = NotHeld{};
                     }
                   },
                   [this](const StatusNotice& n) {
                     Partition& partition = partitions_.at(n.status.partition);
                     partition.notice = n;
                     TellMembership();
                   },
               },
               notice);
    FinishShutdown();
  }

  std::string_view WhyHandedOver() const {
    if (shutdown_) return "shutdown";
    return options_.sticky ? "relocated" : "not_wanted";
  }

  void OnHandedOver(const HandedOver& notice) {
    Partition& partition = partitions_.at(notice.partition);
    const auto* handing = std::get_if<HandingOver>(&partition.holding);
    if (handing != nullptr && handing->epoch == notice.epoch) {
      ++partition.claims.handed_over;
      LOG(INFO) << "handover partition=" << notice.partition.value()
                << " epoch=" << notice.epoch.value
                << " member=" << options_.member.value()
                << " why=" << WhyHandedOver() << " held_ms="
                << MillisSince(partition.claim_taken, Clock::now());
      WriteClaim(notice.partition, {notice.partition, MemberId(), notice.epoch},
                 handing->version);
      partition.holding = NotHeld{};
    }
  }

  // --- News for the other tasks

  void OnConfiguration(const configuration::Update& update) {
    configuration_ = update;
    UpdateAuthority();
    for (auto& [id, partition] : partitions_) {
      partition.task->address().Send(update);
    }
    TellMembership();
  }

  void OnVmList(const vmlist::Update& update) {
    const auto* snapshot = std::get_if<vmlist::Snapshot>(&update);
    if (snapshot == nullptr) return;
    vms_ = *snapshot;
    TellWorkers();
    TellKeeperOfPeers();
  }

  void TellWorkers() {
    for (auto& [id, partition] : partitions_) TellWorkers(id, partition);
  }

  // Whoever takes a partition up is told then.
  void TellWorkers(const PartitionId& id, const Partition& partition) const {
    if (!vms_ || std::holds_alternative<NotHeld>(partition.holding)) return;
    if (!options_.partitions_from_layouts) {
      return partition.task->address().Send(*vms_);
    }
    const auto layout = layouts_->find(partition.service);
    if (layout == layouts_->end()) return;
    partition.task->address().Send(WorkersOf(*vms_, layout->second, id));
  }

  void TellMembership() {
    membership::SelfChanged self;
    if (configuration_ && configuration_->configuration) {
      self.revision = configuration_->configuration->revision;
      self.store_contact_age = configuration_->store_contact_age;
    }
    for (const auto& [id, partition] : partitions_) {
      if (partition.notice.owns) self.owned.push_back(id);
    }
    peers_.membership.Send(std::move(self));
  }

  // Only a list that was read from the store is complete; without one there is
  // no evidence of an outage.
  void TellKeeperOfPeers() {
    if (!view_.known) return;
    peers_.configuration.Send(OutageWitnesses(view_, options_.member, vms_));
  }

  // --- Requests of other processes

  void OnIncoming(entry::Incoming& incoming) {
    std::visit([&](auto& request) { Serve(request, incoming); },
               incoming.request);
  }

  void Serve(entry::Gossip& gossip, const entry::Incoming& incoming) {
    peers_.membership.Send(
        membership::GossipReceived{std::move(gossip), incoming.responder});
  }

  void Serve(const entry::PullConfiguration& pull,
             const entry::Incoming& incoming) {
    peers_.configuration.Send(
        configuration::AnswerPull{pull, incoming.responder});
  }

  void Serve(const entry::GetStatus& /*request*/,
             const entry::Incoming& incoming) {
    incoming.responder.Answer(CurrentStatus());
  }

  void Serve(entry::RelayPermits& relay, const entry::Incoming& incoming) {
    RelayPermits(peers_.permit_service, std::move(relay), incoming);
  }

  template <NamesPartition Request>
  void Serve(Request& request, const entry::Incoming& incoming) {
    const PartitionId id = request.partition;
    Pass(id, std::move(request), incoming);
  }

  template <NamesJob Request>
  void Serve(Request& request, const entry::Incoming& incoming) {
    const PartitionId id = PartitionOf(request.job).value_or(PartitionId());
    Pass(id, std::move(request), incoming);
  }

  void Pass(const PartitionId& id, partition::JobRequest request,
            const entry::Incoming& incoming) {
    const entry::Responder& responder = incoming.responder;
    const MonotonicTime deadline = Clock::now() + incoming.time_left;
    const auto found = partitions_.find(id);
    const bool unknown = found == partitions_.end();
    if (unknown && !options_.partitions_from_layouts) {
      responder.Answer(Refusal{RefusalCode::kNotFound, Effect::kNotRun,
                               "no partition has this name", std::nullopt});
      return;
    }
    // A process that has just started knows of no partition yet.
    if (unknown || authority_paused_ ||
        std::holds_alternative<NotHeld>(found->second.holding)) {
      responder.Answer(Refusal{RefusalCode::kNotOwner, Effect::kNotRun,
                               "this process does not own the partition",
                               kRetryAfter});
      return;
    }
    found->second.task->address().Send(
        JobReceived{std::move(request), deadline, responder});
  }

  entry::Status CurrentStatus() const {
    entry::Status status;
    status.member = options_.member;
    if (configuration_ && configuration_->configuration) {
      status.revision = configuration_->configuration->revision;
    }
    for (const auto& [id, partition] : partitions_) {
      if (partition.notice.owns)
        status.partitions.push_back(partition.notice.status);
    }
    return status;
  }

  std::vector<StatusNotice> Notices() const {
    std::vector<StatusNotice> notices;
    for (const auto& [id, partition] : partitions_) {
      notices.push_back(partition.notice);
    }
    return notices;
  }

  std::map<PartitionId, ClaimFigures> Claims() const {
    std::map<PartitionId, ClaimFigures> claims;
    for (const auto& [id, partition] : partitions_) {
      claims.emplace(id, partition.claims);
    }
    return claims;
  }

  // --- Leaving

  void OnShutdown(const Shutdown& shutdown) {
    shutdown_ = shutdown;
    if (authority_paused_) GiveUpAll("shutdown_without_authority");
    peers_.membership.Send(membership::Drain{});
    Reconsider();
    FinishShutdown();
  }

  void FinishShutdown() {
    if (!shutdown_ || leaving_) return;
    for (const auto& [id, partition] : partitions_) {
      if (!std::holds_alternative<NotHeld>(partition.holding)) return;
    }
    leaving_ = true;
    const task::Address<Inbox> inbox = mailbox_.address();
    peers_.membership.Send(membership::Leave{inbox});
  }

  task::Loop& loop_;
  const Options options_;
  const Peers peers_;
  const MonotonicTime started_ = Clock::now();
  std::map<PartitionId, Partition> partitions_;
  membership::View view_;
  std::optional<membership::LeaseFailed> last_failure_;
  logging::LineBudget refused_lines_{kRefusedLinesPerSecond};
  std::optional<configuration::Update> configuration_;
  std::optional<vmlist::Snapshot> vms_;
  std::shared_ptr<const layout::Layouts> layouts_ =
      std::make_shared<layout::Layouts>();
  std::optional<Shutdown> shutdown_;
  bool leaving_ = false;
  task::Mailbox<Inbox> mailbox_;
  task::Timer claim_timer_;
  task::Timer authority_timer_;
  task::Timer pause_timer_;  // Of the latest pause.
  MonotonicTime authority_until_;
  // Authority has ended, and view_.lease, under which partitions are held, may
  // still stand.
  bool authority_paused_ = false;
};

Manager::Manager(task::Loop& loop, Options options, Peers peers)
    : impl_(
          std::make_shared<Impl>(loop, std::move(options), std::move(peers))) {}

Manager::~Manager() = default;

task::Address<Message> Manager::address() const { return impl_->address(); }

}  // namespace azurepass::scheduling
