// Lines reach the descriptor; a reader that does not read costs lines, never
// time. (CHECK is glog's here.)

#include "azurepass/logging/logging.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include <string>

namespace azurepass::logging {
namespace {

class Pipe {
 public:
  Pipe() { REQUIRE(pipe(ends_) == 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  int write_end() const { return ends_[1]; }
  // All that is there now.
  std::string Read() const {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char bytes[4'096];
    for (ssize_t n = 0; (n = read(ends_[0], bytes, sizeof bytes)) > 0;) {
      text.append(bytes, static_cast<size_t>(n));
    }
    return text;
  }

 private:
  int ends_[2] = {-1, -1};
};

void Turn(task::Loop& loop, Duration time) {
  task::Timer timer(loop);
  timer.After(time, [&loop] { loop.Quit(); });
  loop.Run();
}

int LinesWith(const std::string& text, const std::string& part) {
  int lines = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++lines;
  }
  return lines;
}

TEST_CASE("a line is written with its severity and place") {
  const Pipe pipe;
  task::Loop loop;
  const Writer writer(
      loop, {.descriptor = pipe.write_end(), .flush_interval = Duration(5)});
  LOG(WARNING) << "event=test id=7";
  Turn(loop, Duration(30));
  const std::string text = pipe.Read();
  REQUIRE(text.starts_with("W2"));
  REQUIRE(text.find("logging_test.cc:") != std::string::npos);
  REQUIRE(text.ends_with("] event=test id=7\n"));
}

TEST_CASE("the second's budget leaves lines out, but no warnings") {
  const Pipe pipe;
  task::Loop loop;
  const Writer writer(loop, {.descriptor = pipe.write_end(),
                             .flush_interval = Duration(5),
                             .lines_per_second = 10});
  for (int i = 0; i < 30; ++i) LOG(INFO) << "event=many";
  LOG(WARNING) << "event=important";
  Turn(loop, Duration(30));
  const std::string text = pipe.Read();
  REQUIRE(LinesWith(text, "event=many") == 10);
  REQUIRE(LinesWith(text, "event=important") == 1);
  REQUIRE(text.find("event=log_left_out lines=20") != std::string::npos);
}

TEST_CASE("a reader that does not read holds nobody up") {
  const Pipe pipe;
  task::Loop loop;
  const Writer writer(loop, {.descriptor = pipe.write_end(),
                             .flush_interval = Duration(5),
                             .queue_bound = 100,
                             .lines_per_second = 1'000'000});
  const std::string filler(1'000, 'x');
  const MonotonicTime begin = BootClock::now();
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < 200; ++i) LOG(INFO) << "event=full " << filler;
    Turn(loop, Duration(10));
  }
  REQUIRE(BootClock::now() - begin < std::chrono::seconds(5));
  std::string text;
  for (int round = 0; round < 10; ++round) {
    text += pipe.Read();
    Turn(loop, Duration(20));
  }
  REQUIRE(LinesWith(text, "event=full") > 0);
  REQUIRE(text.find("event=log_left_out") != std::string::npos);
}

TEST_CASE("a budget of lines is renewed each second and counts the rest") {
  const MonotonicTime start{std::chrono::hours(1)};
  LineBudget budget(2);
  CHECK(budget.Take(start));
  CHECK(budget.Take(start));
  CHECK_FALSE(budget.Take(start + Duration(1)));
  CHECK_FALSE(budget.Take(start + Duration(999)));
  CHECK(budget.Take(start + Duration(1'000)));
  CHECK(LeftOutText(budget.TakeLeftOut()) == " left_out=2");
  CHECK(LeftOutText(budget.TakeLeftOut()).empty());
}

}  // namespace
}  // namespace azurepass::logging
