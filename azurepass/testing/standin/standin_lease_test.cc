// Safety of the workers' leases, in virtual time: an owner's session and a
// worker, with messages between them that are late, lost or doubled, an owner
// that pauses, and two clocks that run at different rates.
//
// Two promises are checked at every step:
//   1. Once the end of the lease that Unreachable announced has passed on the
//      owner's clock, and the worker has not answered since, nothing runs
//      there.
//   2. What Authorize forbids after T has no lease beyond T plus the lease and
//      its margin.
// Each is also shown to break without the token: a worker that renews for the
// whole lease whenever an exchange arrives.

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <queue>
#include <random>

#include "azurepass/endpoint/internal/session.h"
#include "azurepass/testing/standin/internal/worker_state.h"

namespace azurepass::testing {
namespace {

using endpoint::internal::Channel;
using endpoint::internal::Session;
using internal::ExchangeAnswer;
using internal::ExchangeRequest;
using internal::WorkerState;

enum class Renewal { kByToken, kOnArrival };

constexpr Duration kStep{50};
constexpr Duration kRun{240'000};
constexpr int kSeeds = 300;

class Simulation {
 public:
  Simulation(uint64_t seed, Renewal renewal)
      : random_(seed),
        renewal_(renewal),
        drift_permille_(Between(-10, 10)),
        worker_(Spec(), 1, WorkerNow()),
        session_(VmId("w"), Epoch{1}, options_, std::nullopt, seed, {}, now_) {}

  // Returns what was broken, or empty.
  std::string Run() {
    Perform(session_.Start(now_));
    while (now_ < MonotonicTime(kRun)) {
      now_ += kStep;
      if (Chance(1)) paused_until_ = now_ + Duration(Between(0, 40'000));
      if (Chance(1)) cut_until_ = now_ + Duration(Between(0, 60'000));
      if (Chance(5)) Order();
      if (Chance(1)) Authorize();
      Deliver();
      AnswerHeld();
      worker_.Advance(WorkerNow());
      if (std::string broken = Check(); !broken.empty()) return broken;
    }
    return "";
  }
  int64_t lapses() const { return lapses_; }

 private:
  struct Held {
    int64_t call;
    ExchangeRequest request;
    WorkerState::Admitted admitted;
    MonotonicTime until;  // On the worker's clock.
  };
  struct Due {
    MonotonicTime at;
    bool at_owner = false;  // Waits while the owner is paused.
    std::function<void()> run;
  };

  static WorkerSpec Spec() {
    WorkerSpec spec;
    spec.vm = VmId("w");
    spec.capacity = Resources::Uniform(1'000);
    return spec;
  }
  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }
  bool Chance(int64_t percent) { return Between(0, 99) < percent; }
  MonotonicTime WorkerNow() const {
    return now_ + now_.time_since_epoch() / 1'000 * drift_permille_;
  }

  // Mostly fast, at times slower than any timeout, at times never.
  void Transmit(bool to_owner, const std::function<void()>& run) {
    const int copies = Chance(5) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Chance(5) || (now_ < cut_until_ && Chance(90))) continue;
      const Duration delay(Chance(10) ? Between(0, 60'000) : Between(0, 20));
      queue_.push_back({now_ + delay, to_owner, run});
    }
  }

  void Perform(std::vector<endpoint::internal::Output> outputs) {
    for (auto& output : outputs) {
      std::visit(Visitor{[this](const endpoint::internal::Exchange& e) {
                           Call(e.channel, e.request);
                         },
                         [this](const endpoint::internal::Wake& wake) {
                           queue_.push_back(
                               {now_ + wake.delay, true, [this, wake] {
                                  Tell(endpoint::internal::Woken{wake.channel});
                                }});
                         },
                         [this](const endpoint::Update& u) { Note(u); },
                         [](const endpoint::internal::StartNoted&) {}},
                 output);
    }
  }
  void Tell(endpoint::internal::Event event) {
    Perform(session_.Handle(std::move(event), now_));
  }

  void Call(Channel channel, const ExchangeRequest& request) {
    const int64_t call = ++calls_;
    open_calls_[call] = channel;
    const Duration timeout = request.hold + options_.request_timeout;
    queue_.push_back({now_ + timeout, true, [this, call] {
                        const auto found = open_calls_.find(call);
                        if (found == open_calls_.end()) return;
                        const Channel channel = found->second;
                        open_calls_.erase(found);
                        Tell(endpoint::internal::Unanswered{channel});
                      }});
    Transmit(false, [this, call, request] { Arrive(call, request); });
  }

  void Arrive(int64_t call, const ExchangeRequest& received) {
    ExchangeRequest request = received;
    const MonotonicTime now = WorkerNow();
    worker_.Advance(now);
    if (renewal_ == Renewal::kOnArrival && !request.token.empty()) {
      request.token = worker_.Answer({}, {}, now).token;
    }
    const auto outcome = worker_.Admit(request, now);
    if (!std::holds_alternative<WorkerState::Admitted>(outcome)) return;
    const MonotonicTime until = now + request.hold;
    held_.push_back({call, std::move(request),
                     std::get<WorkerState::Admitted>(outcome), until});
  }

  void AnswerHeld() {
    std::deque<Held> rest;
    for (Held& held : held_) {
      if (held.until > WorkerNow() && !worker_.HasNews(held.request)) {
        rest.push_back(std::move(held));
        continue;
      }
      const ExchangeAnswer answer =
          worker_.Answer(held.request, held.admitted, WorkerNow());
      Transmit(true, [this, call = held.call, answer] {
        const auto found = open_calls_.find(call);
        if (found == open_calls_.end()) return;
        const Channel channel = found->second;
        open_calls_.erase(found);
        Tell(endpoint::internal::Answered{channel, answer});
      });
    }
    held_ = std::move(rest);
  }

  void Deliver() {
    std::vector<Due> due;
    for (auto it = queue_.begin(); it != queue_.end();) {
      const bool ready =
          it->at <= now_ && (!it->at_owner || now_ >= paused_until_);
      if (ready) due.push_back(std::move(*it));
      it = ready ? queue_.erase(it) : it + 1;
    }
    for (const Due& d : due) d.run();
  }

  void Order() {
    StartTask start;
    start.attempt = {{JobId("p.1"), ++started_}, 1};
    start.size = Resources(1, 1, 1, 1, 0);
    if (now_ < paused_until_) return;
    Tell(endpoint::internal::Ordered{{start}});
  }
  // Usually well ahead; the end passes whenever this is not called for long.
  void Authorize() {
    if (now_ < paused_until_) return;
    authorized_until_ = now_ + Duration(Between(0, 20'000));
    Tell(endpoint::internal::Authorized{*authorized_until_});
  }

  void Note(const endpoint::Update& update) {
    std::visit(
        Visitor{
            [this](const endpoint::Unreachable& u) {
              lease_until_ = u.lease_until;
            },
            [this](const endpoint::SessionOpened&) { lease_until_.reset(); },
            [this](const endpoint::Reachable&) { lease_until_.reset(); },
            [](const auto&) {}},
        update);
  }

  std::string Check() {
    const bool runs = worker_.next_change().has_value();
    const Duration lease = options_.lease + options_.lease_margin;
    if (lease_until_ && now_ >= *lease_until_) {
      ++lapses_;
      if (runs) return "runs after the announced end of its lease";
    }
    if (runs && authorized_until_ && now_ >= *authorized_until_ + lease) {
      return "runs beyond the permission to own and a lease";
    }
    return "";
  }

  std::mt19937_64 random_;
  Renewal renewal_;
  endpoint::Options options_;
  MonotonicTime now_{};
  MonotonicTime paused_until_{};
  MonotonicTime cut_until_{};
  int64_t drift_permille_;
  WorkerState worker_;
  Session session_;
  std::deque<Due> queue_;
  std::deque<Held> held_;
  std::map<int64_t, Channel> open_calls_;
  int64_t calls_ = 0;
  int32_t started_ = 0;
  int64_t lapses_ = 0;
  std::optional<MonotonicTime> lease_until_;
  std::optional<MonotonicTime> authorized_until_;
};

TEST_CASE("an announced end of a lease is never early") {
  int64_t lapses = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed, Renewal::kByToken);
    CHECK(simulation.Run() == "");
    lapses += simulation.lapses();
  }
  // Otherwise the first promise was not put to the test.
  CHECK(lapses > kSeeds);
}

TEST_CASE("the check finds a worker that renews whenever an exchange arrives") {
  std::map<std::string, int> found;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ++found[Simulation(seed, Renewal::kOnArrival).Run()];
  }
  CHECK(found["runs after the announced end of its lease"] > 0);
  CHECK(found["runs beyond the permission to own and a lease"] > 0);
}

}  // namespace
}  // namespace azurepass::testing
