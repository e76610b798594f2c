// What holds when the owner of a partition is paused, killed or asked to end.

#include <doctest/doctest.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

#include "azurepass/testing/system/scenario.h"

namespace azurepass::testing {
namespace {

using Json = nlohmann::json;

constexpr Duration kPatience{40'000};

ClusterOptions Options(int partitions = 1) {
  ClusterOptions options;
  options.binaries = AZUREPASS_BINARIES;
  options.partitions = partitions;
  return options;
}

void CheckAll(Cluster& cluster, const std::vector<AttemptRun>& history) {
  CHECK(CheckOnePlace(history) == Findings{});
  CHECK(cluster.Violations() == std::vector<std::string>{});
}

TEST_CASE("an owner paused beyond its lease doubles nothing") {
  Cluster cluster(Options());
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());
  const std::string repeatable = Submit(
      cluster, key, BatchJob("repeatable", 80, Duration(2'000)), kPatience);
  const std::string once = Submit(
      cluster, key, BatchJob("once", 60, Duration(2'000), false), kPatience);
  REQUIRE(!repeatable.empty());
  REQUIRE(!once.empty());
  const int owner = OwnerOf(cluster, "intake-0");
  REQUIRE(owner >= 0);
  cluster.scheduler(owner).Signal(SIGSTOP);
  const Duration paused = Now();
  CHECK(Await(kPatience, [&] {
    const int now = OwnerOf(cluster, "intake-0");
    return now >= 0 && now != owner;
  }));
  MESSAGE("another owner after ms: ", (Now() - paused).count());
  Pause(Duration(3'000));
  cluster.scheduler(owner).Signal(SIGCONT);
  CHECK(Succeeded(AwaitFinal(cluster, key, repeatable, kPatience)) == 80);
  const Json last = AwaitFinal(cluster, key, once, kPatience);
  CHECK(last.value("final", false));
  MESSAGE("of 60 non-repeatable tasks succeeded: ", Succeeded(last));
  const auto history = cluster.History();
  CHECK(CheckRanOnce(history, JobId(repeatable), 80) == Findings{});
  CHECK(CheckStartedAtMostOnce(history, JobId(once)) == Findings{});
  CheckAll(cluster, history);
}

TEST_CASE("a killed owner's partition starts work again within 5 s") {
  constexpr int kKills = 10;
  constexpr Duration kTarget{5'000};
  constexpr Duration kSettle{1'500};
  Cluster cluster(Options());
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());
  // Always full, so that each end makes room for a start.
  constexpr int kTasks = 9'000;
  const std::string job = Submit(
      cluster, key, BatchJob("steady", kTasks, Duration(300)), kPatience);
  REQUIRE(!job.empty());
  std::vector<int64_t> gaps;
  for (int i = 0; i < kKills; ++i) {
    int owner = -1;
    REQUIRE(Await(kPatience, [&] {
      owner = OwnerOf(cluster, "intake-0");
      return owner >= 0 && PeakRunning(cluster.History(), Now()) > 0;
    }));
    const Duration killed = Now();
    cluster.scheduler(owner).Signal(SIGKILL);
    cluster.scheduler(owner).Wait();
    Duration next = Duration::max();
    CHECK(Await(kPatience, [&] {
      for (const AttemptRun& run : cluster.History()) {
        // Orders that were under way when it died are not the next owner's.
        if (run.started > killed + Duration(300)) {
          next = std::min(next, run.started);
        }
      }
      return next != Duration::max();
    }));
    gaps.push_back((next - killed).count());
    MESSAGE("kill ", i, ": next start after ms: ", gaps.back(), ", attempts ",
            cluster.History().size());
    cluster.StartScheduler(owner);
    // A planned handover to the process that came back is not what is timed.
    Pause(kSettle);
  }
  std::sort(gaps.begin(), gaps.end());
  MESSAGE("ms from the kill to the next start: p50 ", gaps[kKills / 2],
          ", max ", gaps.back());
  CHECK(gaps.back() <= kTarget.count());
  const auto history = cluster.History();
  CheckAll(cluster, history);
  cluster.Call(0, "DELETE", "/v1/jobs/" + job, key);
}

// Held GETs of one job, asked at once through one frontend.
class HeldCalls {
 public:
  HeldCalls(const std::string& url, const std::string& key, int count)
      : session_(soup_session_new_with_options("max-conns-per-host", count,
                                               nullptr)) {
    for (int i = 0; i < count; ++i) {
      SoupMessage* message = soup_message_new("GET", url.c_str());
      soup_message_headers_append(soup_message_get_request_headers(message),
                                  "Authorization", ("Bearer " + key).c_str());
      soup_session_send_and_read_async(session_, message, G_PRIORITY_DEFAULT,
                                       nullptr, &HeldCalls::Done, this);
      messages_.push_back(message);
    }
  }
  ~HeldCalls() {
    for (SoupMessage* message : messages_) g_object_unref(message);
    g_object_unref(session_);
  }
  HeldCalls(const HeldCalls&) = delete;
  HeldCalls& operator=(const HeldCalls&) = delete;

  // Serves the calls on this thread until all have ended or `end` is reached.
  void Run(Duration end) {
    while (ended_ < std::ssize(messages_) && Now() < end) {
      g_timeout_add(
          50, [](gpointer) { return G_SOURCE_REMOVE; }, nullptr);
      g_main_context_iteration(nullptr, TRUE);
    }
  }
  int ended() const { return ended_; }
  int whole() const { return whole_; }

 private:
  static void Done(GObject* source, GAsyncResult* result, gpointer data) {
    auto* self = static_cast<HeldCalls*>(data);
    GError* error = nullptr;
    GBytes* body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
    SoupMessage* message =
        soup_session_get_async_result_message(SOUP_SESSION(source), result);
    ++self->ended_;
    if (error == nullptr && soup_message_get_status(message) == 200) {
      gsize size = 0;
      const auto* text =
          static_cast<const char*>(g_bytes_get_data(body, &size));
      const Json document = Json::parse(text, text + size, nullptr, false);
      if (document.is_object() && document.contains("tasks")) ++self->whole_;
    }
    g_clear_error(&error);
    g_clear_pointer(&body, g_bytes_unref);
  }

  SoupSession* session_;
  std::vector<SoupMessage*> messages_;
  int ended_ = 0;
  int whole_ = 0;
};

// Returns the partition's owner once it has stayed the same for a while, or -1.
// Of the schedulers of a new cluster, the first one up owns the partition until
// it hands it over to the one that is to have it.
int SettledOwner(Cluster& cluster, const std::string& partition) {
  constexpr Duration kSettle{1'500};
  int owner = -1;
  Duration since = Now();
  const bool settled = Await(kPatience, [&] {
    if (const int now = OwnerOf(cluster, partition); now != owner) {
      owner = now;
      since = Now();
    }
    return owner >= 0 && Now() - since >= kSettle;
  });
  return settled ? owner : -1;
}

TEST_CASE("a scheduler and a frontend that are asked to end cut no request") {
  constexpr int kCalls = 8;
  for (const bool frontend : {false, true}) {
    CAPTURE(frontend);
    Cluster cluster(Options());
    CAPTURE(cluster.folder());
    REQUIRE(cluster.Start(kPatience));
    const std::string key = cluster.AddTeam("rilapak", nullptr);
    REQUIRE(!key.empty());
    // Another owner has another version of the job, which answers held calls.
    const int owner = SettledOwner(cluster, "intake-0");
    REQUIRE(owner >= 0);
    const std::string job =
        Submit(cluster, key, BatchJob("held", 4, Duration(6'000)), kPatience);
    REQUIRE(!job.empty());
    REQUIRE(
        Await(kPatience, [&] { return PeakRunning(cluster.History()) == 4; }));
    const Json seen = cluster.Call(0, "GET", "/v1/jobs/" + job, key).body;
    HeldCalls calls("http://" + cluster.caller_address(0) + "/v1/jobs/" + job +
                        "?wait=4&known=" +
                        std::to_string(seen.value("version", int64_t{0})),
                    key, kCalls);
    calls.Run(Now() + Duration(1'000));
    CHECK(calls.ended() == 0);
    REQUIRE(OwnerOf(cluster, "intake-0") == owner);
    Process& process =
        frontend ? cluster.frontend(0) : cluster.scheduler(owner);
    const Duration asked = Now();
    process.Signal(SIGTERM);
    calls.Run(asked + kPatience);
    MESSAGE("held calls answered whole: ", calls.whole(), " of ", kCalls,
            ", last after ms: ", (Now() - asked).count());
    CHECK(calls.whole() == kCalls);
    CHECK(process.Wait() == 0);
    MESSAGE("exited after ms: ", (Now() - asked).count());
    REQUIRE(Await(kPatience, [&] {
      return Select(cluster.History(), [](const AttemptRun& run) {
               return run.outcome == "succeeded";
             }).size() == 4;
    }));
    CHECK(CheckRanOnce(cluster.History(), JobId(job), 4) == Findings{});
    CheckAll(cluster, cluster.History());
  }
}

}  // namespace
}  // namespace azurepass::testing
