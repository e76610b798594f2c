// Mailboxes, addresses and timers on a running loop.

#include "azurepass/task/task.h"

#include <doctest/doctest.h>

#include <future>
#include <string>
#include <variant>
#include <vector>

namespace azurepass::task {
namespace {

struct Add {
  int amount;
};
struct Report {
  Address<std::vector<int>> reply_to;
};
using Message = std::variant<Add, Report>;

// Remembers what it was sent, in order.
class Recorder {
 public:
  explicit Recorder(Loop& loop)
      : mailbox_(loop, [this](Message m) { Handle(std::move(m)); }) {}
  Address<Message> address() const { return mailbox_.address(); }

 private:
  void Handle(Message message) {
    std::visit(Visitor{
                   [this](Add add) { amounts_.push_back(add.amount); },
                   [this](const Report& r) { r.reply_to.Send(amounts_); },
               },
               std::move(message));
  }
  std::vector<int> amounts_;
  Mailbox<Message> mailbox_;
};

// An address that fulfils a promise.
template <class T>
std::pair<Address<T>, std::future<T>> Expect() {
  auto promise = std::make_shared<std::promise<T>>();
  return {Address<T>([promise](T value) { promise->set_value(value); }),
          promise->get_future()};
}

TEST_CASE("messages arrive in order, also from another thread") {
  Loop loop;
  Recorder recorder(loop);
  loop.Start();
  std::vector<int> expected;
  for (int i = 0; i < 1'000; ++i) {
    recorder.address().Send(Add{i});
    expected.push_back(i);
  }
  auto [address, result] = Expect<std::vector<int>>();
  recorder.address().Send(Report{address});
  CHECK(result.get() == expected);
  loop.Stop();
}

TEST_CASE("an address narrows to one alternative and maps a payload") {
  Loop loop;
  Recorder recorder(loop);
  loop.Start();
  Address<Add> narrow = recorder.address();
  narrow.Send(Add{7});
  auto text = recorder.address().Map<std::string>(
      [](const std::string& s) { return Add{static_cast<int>(s.size())}; });
  text.Send("four");
  auto [address, result] = Expect<std::vector<int>>();
  recorder.address().Send(Report{address});
  CHECK(result.get() == std::vector<int>{7, 4});
  loop.Stop();
}

TEST_CASE("a closed mailbox drops what it is sent") {
  Loop loop;
  Address<Message> late;
  {
    Recorder recorder(loop);
    late = recorder.address();
  }
  loop.Start();
  late.Send(Add{1});
  loop.Stop();
}

TEST_CASE("a relay keeps what comes before its receiver, in order") {
  Loop loop;
  Recorder recorder(loop);
  Relay<Add> relay(loop);
  relay.address().Send(Add{1});
  relay.address().Send(Add{2});
  relay.Connect(recorder.address());
  relay.address().Send(Add{3});
  loop.Start();
  Address<Report> reports = recorder.address();
  std::vector<int> seen;
  while (seen.size() < 3) {
    auto [address, result] = Expect<std::vector<int>>();
    reports.Send(Report{address});
    seen = result.get();
  }
  CHECK(seen == std::vector<int>{1, 2, 3});
  loop.Stop();
}

TEST_CASE("a timer fires, repeats, and can be set again from its callback") {
  Loop loop;
  Timer once(loop);
  Timer repeating(loop);
  int fired = 0;
  int rounds = 0;
  once.After(Duration(1), [&] {
    ++fired;
    once.After(Duration(1), [&] { ++fired; });
  });
  repeating.Every(Duration(2), [&] {
    if (++rounds >= 3 && fired == 2) loop.Quit();
  });
  loop.Run();
  CHECK(fired == 2);
  CHECK(rounds >= 3);
  CHECK_FALSE(once.active());
  repeating.Cancel();
}

TEST_CASE("stopping a loop that was quit before it ran returns") {
  Loop loop;
  loop.Quit();
  loop.Run();
}

}  // namespace
}  // namespace azurepass::task
