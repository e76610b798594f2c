// The load that this answers: a store that takes writes and loses a third of
// its answers, while a journal waits for each of them.

#include <doctest/doctest.h>

#include <vector>

#include "azurepass/store/store.h"

namespace azurepass::store {
namespace {

constexpr Duration kOverdue{60};  // A third call comes after 180 ms.
constexpr Duration kShort{5};

class Fixture {
 public:
  Fixture()
      : mailbox_(loop_, [this](Request r) { calls.push_back(std::move(r)); }),
        hedge_(loop_, {kOverdue, kOverdue, 4}, mailbox_.address()) {}

  void Write(const std::string& value) {
    hedge_.address().Send(Put{"key", value, 7, "",
                              task::Address<WriteReply>([this](WriteReply r) {
                                replies.push_back(std::move(r));
                                loop_.Quit();
                              })});
  }
  void Read() {
    hedge_.address().Send(List{
        "prefix/", "", 1'000, task::Address<ListReply>([this](ListReply reply) {
          listed.push_back(std::move(reply));
          loop_.Quit();
        }),
        task::Address<Progress>(
            [this](Progress p) { progress = p.received; })});
  }
  void Answer(size_t call, WriteReply reply) {
    std::get<Put>(calls.at(call)).reply_to.Send(std::move(reply));
  }
  // Turns the loop for a while, or until a reply comes.
  void Turn(Duration time = Duration(100)) {
    task::Timer timer(loop_);
    timer.After(time, [this] { loop_.Quit(); });
    loop_.Run();
  }

  std::vector<Request> calls;
  std::vector<WriteReply> replies;
  std::vector<ListReply> listed;
  int64_t progress = 0;  // Told of the reading.

 private:
  task::Loop loop_;
  task::Mailbox<Request> mailbox_;
  Hedge hedge_;
};

TEST_CASE("an overdue write is asked again, and its own value is a success") {
  Fixture f;
  f.Write("ours");
  f.Turn();
  REQUIRE(f.calls.size() == 2);
  f.Answer(1, Conflict{Entry{"key", "ours", 9}});
  f.Turn();
  REQUIRE(f.replies.size() == 1);
  CHECK(std::get<Written>(f.replies[0]).version == 9);
  f.Answer(0, Error{ErrorCode::kOutcomeUnknown, "late"});
  f.Turn();
  CHECK(f.replies.size() == 1);
}

TEST_CASE("another's value is a conflict, also the second time") {
  Fixture f;
  f.Write("ours");
  f.Turn();
  f.Answer(1, Conflict{Entry{"key", "theirs", 9}});
  f.Turn();
  REQUIRE(f.replies.size() == 1);
  CHECK(std::holds_alternative<Conflict>(f.replies[0]));
}

TEST_CASE("a failure is told when nothing is under way, the weightier one") {
  Fixture f;
  f.Write("ours");
  f.Turn();
  REQUIRE(f.calls.size() == 2);
  f.Answer(0, Error{ErrorCode::kOutcomeUnknown, "lost"});
  f.Turn(kShort);
  CHECK(f.replies.empty());
  f.Answer(1, Error{ErrorCode::kUnavailable, "refused"});
  f.Turn(kShort);
  REQUIRE(f.replies.size() == 1);
  CHECK(std::get<Error>(f.replies[0]).code == ErrorCode::kOutcomeUnknown);
}

TEST_CASE("a prompt answer is asked for once") {
  Fixture f;
  f.Write("ours");
  f.Turn(kShort);
  REQUIRE(f.calls.size() == 1);
  f.Answer(0, Written{8});
  f.Turn();
  CHECK(f.replies.size() == 1);
  f.Turn();
  CHECK(f.calls.size() == 1);
}

TEST_CASE("a refusal is passed on at once") {
  Fixture f;
  f.Write("ours");
  f.Turn(kShort);
  f.Answer(0, Error{ErrorCode::kUnavailable, "refused"});
  f.Turn();
  REQUIRE(f.replies.size() == 1);
  CHECK(f.calls.size() == 1);
}

// Guards against readings of one large value that share a narrow link with each
// other, so that none of them ends.
TEST_CASE("a reading of which a part has come is not asked for again") {
  Fixture f;
  f.Read();
  f.Turn(kShort);
  REQUIRE(f.calls.size() == 1);
  std::get<List>(f.calls[0]).progress_to.Send(Progress{1'000});
  f.Turn(Duration(300));
  CHECK(f.calls.size() == 1);
  CHECK(f.progress == 1'000);
  std::get<List>(f.calls[0])
      .reply_to.Send(Error{ErrorCode::kUnavailable, "stalled"});
  f.Turn();
  REQUIRE(f.listed.size() == 1);
  CHECK(std::holds_alternative<Error>(f.listed[0]));
}

TEST_CASE("a reading of which nothing has come is asked for again") {
  Fixture f;
  f.Read();
  f.Turn();
  REQUIRE(f.calls.size() == 2);
  std::get<List>(f.calls[1]).progress_to.Send(Progress{1'000});
  f.Turn(Duration(300));
  CHECK(f.calls.size() == 2);
  std::get<List>(f.calls[1]).reply_to.Send(Listing{});
  f.Turn();
  CHECK(f.listed.size() == 1);
}

}  // namespace
}  // namespace azurepass::store
