// The task that reads and writes the configuration in the store. Each request
// is an operation of a few steps; a step that waits for the store continues in
// a Resume message, so that all of it runs on the writer's loop.

#include <functional>
#include <utility>

#include "azurepass/codec/codec.h"
#include "azurepass/operators/internal/secrets.h"
#include "azurepass/operators/internal/settled_write.h"
#include "azurepass/operators/operators.h"

namespace azurepass::operators {
namespace {

using internal::Accepted;
using internal::Change;
using internal::Failed;
using internal::Lost;
using internal::SettledWrite;

constexpr int64_t kPageEntries = 1'000;
constexpr int kMaxWithdrawTries = 5;
// Kept back from an operation's time, to answer before the caller gives up.
constexpr Duration kAnswerMargin{1'000};
constexpr Duration kRetryAfter{1'000};

MonotonicTime Now() { return BootClock::now(); }

Refusal Refuse(RefusalCode code, std::string message) {
  return {code, Effect::kNotRun, std::move(message), std::nullopt};
}

Refusal StoreRefusal(Effect effect, const std::string& message) {
  std::string sentence = "the store can't be used now: " + message;
  if (effect == Effect::kUnknown) {
    sentence += "; read the value again to see whether it was written";
  }
  return {RefusalCode::kStoreUnavailable, effect, std::move(sentence),
          kRetryAfter};
}

// Reads a stored record and gives it the store's version.
template <class Record>
std::optional<Record> Decode(const store::Entry& entry) {
  auto outcome = codec::Try([&] { return codec::Decode<Record>(entry.value); });
  if (!std::holds_alternative<Record>(outcome)) return std::nullopt;
  Record record = std::get<Record>(std::move(outcome));
  record.version = entry.version;
  return record;
}

template <class Record>
std::vector<Record> DecodeAll(const store::Listing& listing) {
  std::vector<Record> records;
  for (const store::Entry& entry : listing.entries) {
    if (auto record = Decode<Record>(entry)) records.push_back(*record);
  }
  return records;
}

template <class Record>
std::string Encode(Record record, const std::string& change_id) {
  record.version = store::kAbsent;  // The store's own counts.
  codec::Json document = codec::Write(record);
  document["change"] = change_id;
  return document.dump();
}

std::string PrefixOf(const std::string& key) {
  return key.substr(0, key.rfind('/') + 1);
}

}  // namespace

class ConfigurationWriter::Impl {
 public:
  Impl(task::Loop& loop, KnownNames known, uint64_t seed,
       task::Address<store::Request> store,
       task::Address<configuration::ChangeAccepted> accepted)
      : loop_(loop),
        known_(std::move(known)),
        store_(std::move(store)),
        accepted_(std::move(accepted)),
        random_(static_cast<std::minstd_rand::result_type>(seed)),
        mailbox_(loop, [this](Message m) { Handle(std::move(m)); }) {}

  task::Address<ConfigurationCall> address() const {
    return mailbox_.address();
  }

 private:
  using Reply = task::Address<ConfigurationResponse>;
  // Where an operation goes on.
  struct Resume {
    std::function<void()> run;
  };
  using Message = std::variant<ConfigurationCall, Resume>;
  using WriteOutcome = std::variant<Accepted, Lost, Failed>;

  // A write on its way, with its own timer for the backoff.
  struct Write {
    Write(task::Loop& loop, Change change, MonotonicTime deadline,
          uint64_t seed)
        : settled(std::move(change), deadline, seed), timer(loop) {}
    SettledWrite settled;
    task::Timer timer;
    std::function<void(WriteOutcome)> done;
  };

  void Handle(Message message);
  void Start(const ListContracts& request, const Reply& reply, MonotonicTime);
  void Start(const GetContract& request, const Reply& reply, MonotonicTime);
  void Start(const PutContract& request, const Reply& reply,
             MonotonicTime deadline);
  void Start(const DeleteContract& request, const Reply& reply,
             MonotonicTime deadline);
  void Start(const ListKeys& request, const Reply& reply, MonotonicTime);
  void Start(const CreateKey& request, const Reply& reply,
             MonotonicTime deadline);
  void Start(const WithdrawKey& request, const Reply& reply,
             MonotonicTime deadline);
  void Start(const ListZones& request, const Reply& reply, MonotonicTime);
  void Start(const PutZone& request, const Reply& reply,
             MonotonicTime deadline);

  void WriteNewKey(const TeamId& team, const Reply& reply,
                   MonotonicTime deadline);
  void TryWithdraw(const KeyId& key, int tries_left, const Reply& reply,
                   MonotonicTime deadline);

  // Steps. Each calls `then` once, on the loop.
  void Get(const std::string& key, std::function<void(store::GetReply)> then);
  // All entries below `prefix`, page by page.
  void List(const std::string& prefix, store::Listing so_far,
            std::function<void(store::ListReply)> then);
  void WriteSettled(Change change, MonotonicTime deadline,
                    std::function<void(WriteOutcome)> then);
  void Perform(const std::shared_ptr<Write>& write, internal::Step step);

  // Writes a record and answers with it as it is then.
  template <class Record>
  void PutRecord(const std::string& key, Record record, const Reply& reply,
                 MonotonicTime deadline,
                 std::function<ConfigurationResponse(Record)> answer);
  // Lists the records below the prefix of `key`.
  template <class Record>
  void ListRecords(
      const std::string& key, const Reply& reply,
      std::function<ConfigurationResponse(std::vector<Record>, Revision)>
          answer);

  template <class ReplyType>
  task::Address<ReplyType> Continue(std::function<void(ReplyType)> then) {
    return mailbox_.address().Map<ReplyType>([then](ReplyType reply) {
      return Message(Resume{[then, reply = std::move(reply)] { then(reply); }});
    });
  }

  task::Loop& loop_;
  const KnownNames known_;
  const task::Address<store::Request> store_;
  const task::Address<configuration::ChangeAccepted> accepted_;
  std::minstd_rand random_;
  task::Mailbox<Message> mailbox_;
};

void ConfigurationWriter::Impl::Handle(Message message) {
  std::visit(Visitor{[this](const ConfigurationCall& call) {
                       const MonotonicTime deadline =
                           Now() + call.time_left - kAnswerMargin;
                       std::visit(
                           [&](const auto& request) {
                             Start(request, call.reply_to, deadline);
                           },
                           call.request);
                     },
                     [](const Resume& resume) { resume.run(); }},
             message);
}

// --- Steps

void ConfigurationWriter::Impl::Get(const std::string& key,
                                    std::function<void(store::GetReply)> then) {
  store_.Send(store::Get{key, Continue<store::GetReply>(std::move(then))});
}

void ConfigurationWriter::Impl::List(
    const std::string& prefix, store::Listing so_far,
    std::function<void(store::ListReply)> then) {
  std::string from;
  if (!so_far.entries.empty()) {
    from = store::KeyAfter(so_far.entries.back().key);
  }
  store_.Send(store::List{
      prefix, from, kPageEntries,
      Continue<store::ListReply>([=, this](store::ListReply reply) mutable {
        auto* page = std::get_if<store::Listing>(&reply);
        if (page == nullptr) return then(std::move(reply));
        const bool last = store::IsLastPage(*page, kPageEntries);
        // The revision of the first page is safe for all.
        if (so_far.entries.empty()) so_far.revision = page->revision;
        std::move(page->entries.begin(), page->entries.end(),
                  std::back_inserter(so_far.entries));
        if (last) return then(std::move(so_far));
        List(prefix, std::move(so_far), std::move(then));
      })});
}

void ConfigurationWriter::Impl::WriteSettled(
    Change change, MonotonicTime deadline,
    std::function<void(WriteOutcome)> then) {
  auto write =
      std::make_shared<Write>(loop_, std::move(change), deadline, random_());
  write->done = std::move(then);
  Perform(write, internal::SendWrite{});
}

void ConfigurationWriter::Impl::Perform(const std::shared_ptr<Write>& write,
                                        internal::Step step) {
  const Change& change = write->settled.change();
  const auto read_back = [this, write] {
    Get(write->settled.change().key,
        [this, write](const store::GetReply& reply) {
          Perform(write, write->settled.On(reply, Now()));
        });
  };
  const auto written = Continue<store::WriteReply>(
      [this, write](const store::WriteReply& reply) {
        Perform(write, write->settled.On(reply, Now()));
      });
  std::visit(
      Visitor{
          [&](const internal::SendWrite&) {
            if (change.value) {
              store_.Send(store::Put{change.key, *change.value, change.expected,
                                     "", written});
            } else {
              store_.Send(store::Delete{change.key, change.expected, written});
            }
          },
          [&](const internal::ReadBack&) { read_back(); },
          [&](const internal::WaitAndReadBack& wait) {
            write->timer.After(wait.delay, read_back);
          },
          [&](const Accepted& accepted) {
            accepted_.Send({Revision{accepted.version}});
            std::exchange(write->done, nullptr)(accepted);
          },
          [&](const Lost& lost) { std::exchange(write->done, nullptr)(lost); },
          [&](const Failed& failed) {
            std::exchange(write->done, nullptr)(failed);
          }},
      step);
}

template <class Record>
void ConfigurationWriter::Impl::PutRecord(
    const std::string& key, Record record, const Reply& reply,
    MonotonicTime deadline,
    std::function<ConfigurationResponse(Record)> answer) {
  const std::optional<std::string> id = internal::RandomHex(internal::kIdBytes);
  if (!id) {
    reply.Send(Refuse(RefusalCode::kInternal, "no random numbers"));
    return;
  }
  Change change{key, Encode(record, *id), *id, record.version};
  WriteSettled(
      std::move(change), deadline,
      [record, reply, answer](const WriteOutcome& outcome) mutable {
        std::visit(
            Visitor{[&](const Accepted& accepted) {
                      record.version = accepted.version;
                      reply.Send(answer(record));
                    },
                    [&](const Lost& lost) {
                      Conflict conflict{lost.effect, {}};
                      if (lost.current) {
                        auto current = Decode<Record>(*lost.current);
                        if (current) conflict.current = *std::move(current);
                      }
                      reply.Send(std::move(conflict));
                    },
                    [&](const Failed& failed) {
                      reply.Send(StoreRefusal(failed.effect, failed.message));
                    }},
            outcome);
      });
}

template <class Record>
void ConfigurationWriter::Impl::ListRecords(
    const std::string& key, const Reply& reply,
    std::function<ConfigurationResponse(std::vector<Record>, Revision)>
        answer) {
  List(PrefixOf(key), {}, [reply, answer](const store::ListReply& result) {
    if (const auto* error = std::get_if<store::Error>(&result)) {
      reply.Send(StoreRefusal(Effect::kNotRun, error->message));
      return;
    }
    const auto& listing = std::get<store::Listing>(result);
    reply.Send(answer(DecodeAll<Record>(listing), listing.revision));
  });
}

// --- Contracts

void ConfigurationWriter::Impl::Start(const ListContracts& /*request*/,
                                      const Reply& reply, MonotonicTime) {
  ListRecords<Contract>(configuration::StoreKey(TeamId()), reply,
                        [](std::vector<Contract> contracts, Revision revision) {
                          return ContractList{std::move(contracts), revision};
                        });
}

void ConfigurationWriter::Impl::Start(const GetContract& request,
                                      const Reply& reply, MonotonicTime) {
  Get(configuration::StoreKey(request.team),
      [reply](const store::GetReply& result) {
        if (const auto* error = std::get_if<store::Error>(&result)) {
          reply.Send(StoreRefusal(Effect::kNotRun, error->message));
          return;
        }
        const auto& value = std::get<store::Value>(result);
        auto contract = value.entry ? Decode<Contract>(*value.entry)
                                    : std::optional<Contract>();
        if (contract) {
          reply.Send(*std::move(contract));
        } else {
          reply.Send(Refuse(RefusalCode::kNotFound, "no such contract"));
        }
      });
}

void ConfigurationWriter::Impl::Start(const PutContract& request,
                                      const Reply& reply,
                                      MonotonicTime deadline) {
  const Contract& contract = request.contract;
  if (std::optional<std::string> problem = Problem(contract, known_)) {
    reply.Send(Refuse(RefusalCode::kInvalidRequest, *problem));
    return;
  }
  PutRecord<Contract>(configuration::StoreKey(contract.team), contract, reply,
                      deadline, [](Contract written) { return written; });
}

void ConfigurationWriter::Impl::Start(const DeleteContract& request,
                                      const Reply& reply,
                                      MonotonicTime deadline) {
  const auto remove = [=, this] {
    Change change{configuration::StoreKey(request.team), std::nullopt, "",
                  request.version};
    WriteSettled(
        std::move(change), deadline, [reply](const WriteOutcome& outcome) {
          std::visit(
              Visitor{[&](const Accepted&) { reply.Send(Deleted{}); },
                      [&](const Lost& lost) {
                        Conflict conflict{lost.effect, {}};
                        auto current = lost.current
                                           ? Decode<Contract>(*lost.current)
                                           : std::nullopt;
                        if (current) conflict.current = *std::move(current);
                        reply.Send(std::move(conflict));
                      },
                      [&](const Failed& failed) {
                        reply.Send(StoreRefusal(failed.effect, failed.message));
                      }},
              outcome);
        });
  };
  // A key that outlived its contract would come to life with the next one.
  List(PrefixOf(configuration::StoreKey(KeyId())), {},
       [=](const store::ListReply& result) {
         if (const auto* error = std::get_if<store::Error>(&result)) {
           reply.Send(StoreRefusal(Effect::kNotRun, error->message));
           return;
         }
         const auto& listing = std::get<store::Listing>(result);
         for (const auto& key : DecodeAll<KeyRecord>(listing)) {
           if (key.team != request.team || key.withdrawn) continue;
           reply.Send(Refuse(RefusalCode::kInvalidRequest,
                             "withdraw the team's keys first; key " +
                                 key.id.value() + " still works"));
           return;
         }
         remove();
       });
}

// --- Keys

void ConfigurationWriter::Impl::Start(const ListKeys& /*request*/,
                                      const Reply& reply, MonotonicTime) {
  ListRecords<KeyRecord>(configuration::StoreKey(KeyId()), reply,
                         [](std::vector<KeyRecord> keys, Revision revision) {
                           return KeyList{std::move(keys), revision};
                         });
}

void ConfigurationWriter::Impl::Start(const CreateKey& request,
                                      const Reply& reply,
                                      MonotonicTime deadline) {
  Get(configuration::StoreKey(request.team),
      [=, this](const store::GetReply& result) {
        if (const auto* error = std::get_if<store::Error>(&result)) {
          reply.Send(StoreRefusal(Effect::kNotRun, error->message));
        } else if (!std::get<store::Value>(result).entry) {
          reply.Send(Refuse(RefusalCode::kNotFound,
                            "team " + request.team.value() +
                                " has no contract; write that first"));
        } else {
          WriteNewKey(request.team, reply, deadline);
        }
      });
}

void ConfigurationWriter::Impl::WriteNewKey(const TeamId& team,
                                            const Reply& reply,
                                            MonotonicTime deadline) {
  const auto id = internal::RandomHex(internal::kIdBytes);
  const auto random = internal::RandomHex(internal::kSecretBytes);
  if (!id || !random) {
    reply.Send(Refuse(RefusalCode::kInternal, "no random numbers"));
    return;
  }
  const std::string secret = "azp_" + *random;
  KeyRecord record;
  record.id = KeyId(*id);
  record.team = team;
  record.sha256 = configuration::HashSecret(secret);
  PutRecord<KeyRecord>(configuration::StoreKey(record.id), record, reply,
                       deadline, [secret](KeyRecord written) {
                         return KeyCreated{std::move(written), secret};
                       });
}

void ConfigurationWriter::Impl::Start(const WithdrawKey& request,
                                      const Reply& reply,
                                      MonotonicTime deadline) {
  TryWithdraw(request.key, kMaxWithdrawTries, reply, deadline);
}

// Withdrawing is idempotent and final, so that a race is settled by reading
// again instead of asking the operator.
void ConfigurationWriter::Impl::TryWithdraw(const KeyId& key, int tries_left,
                                            const Reply& reply,
                                            MonotonicTime deadline) {
  const auto on_conflict =
      task::Address<ConfigurationResponse>([=, this](auto response) {
        if (std::holds_alternative<Conflict>(response) && tries_left > 1) {
          TryWithdraw(key, tries_left - 1, reply, deadline);
        } else {
          reply.Send(std::move(response));
        }
      });
  Get(configuration::StoreKey(key), [=, this](const store::GetReply& result) {
    if (const auto* error = std::get_if<store::Error>(&result)) {
      reply.Send(StoreRefusal(Effect::kNotRun, error->message));
      return;
    }
    const auto& value = std::get<store::Value>(result);
    auto record = value.entry ? Decode<KeyRecord>(*value.entry)
                              : std::optional<KeyRecord>();
    if (!record) {
      reply.Send(Refuse(RefusalCode::kNotFound, "no such key"));
      return;
    }
    if (record->withdrawn) {
      reply.Send(*std::move(record));
      return;
    }
    record->withdrawn = true;
    PutRecord<KeyRecord>(configuration::StoreKey(key), *record, on_conflict,
                         deadline, [](KeyRecord written) { return written; });
  });
}

// --- Zones

void ConfigurationWriter::Impl::Start(const ListZones& /*request*/,
                                      const Reply& reply, MonotonicTime) {
  ListRecords<ZoneRecord>(
      configuration::StoreKey(ZoneId()), reply,
      [known = known_.zones](const std::vector<ZoneRecord>& records,
                             Revision revision) {
        std::map<ZoneId, ZoneRecord> zones;
        for (const ZoneId& zone : known) zones[zone] = {zone, true, 0};
        for (const ZoneRecord& record : records) zones[record.zone] = record;
        ZoneList list{{}, revision};
        for (auto& [id, record] : zones) list.zones.push_back(record);
        return list;
      });
}

void ConfigurationWriter::Impl::Start(const PutZone& request,
                                      const Reply& reply,
                                      MonotonicTime deadline) {
  const ZoneRecord& zone = request.zone;
  if (!known_.zones.contains(zone.zone)) {
    reply.Send(Refuse(RefusalCode::kNotFound,
                      "the cell has no zone " + zone.zone.value()));
    return;
  }
  PutRecord<ZoneRecord>(configuration::StoreKey(zone.zone), zone, reply,
                        deadline, [](ZoneRecord written) { return written; });
}

ConfigurationWriter::ConfigurationWriter(
    task::Loop& loop, KnownNames known, uint64_t seed,
    task::Address<store::Request> store,
    task::Address<configuration::ChangeAccepted> accepted)
    : impl_(std::make_shared<Impl>(loop, std::move(known), seed,
                                   std::move(store), std::move(accepted))) {}
ConfigurationWriter::~ConfigurationWriter() = default;

task::Address<ConfigurationCall> ConfigurationWriter::address() const {
  return impl_->address();
}

}  // namespace azurepass::operators
