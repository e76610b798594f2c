#include <algorithm>

#include "cell.hpp"

namespace review {
namespace {

constexpr int64_t kMaxHoldMs = 6000;
constexpr int64_t kBeatMs = 1500;

// "ms=100" for all steps, and " s3=2000" for one step.
int64_t DurationOf(const std::string& spec, const std::string& task) {
  // ID.K.STEP.INDEX
  const size_t end = task.rfind('.');
  const size_t begin = task.rfind('.', end - 1);
  const std::string step = " s" + task.substr(begin + 1, end - begin - 1) + "=";
  if (const size_t own = spec.find(step); own != std::string::npos) {
    return std::atoll(spec.c_str() + own + step.size());
  }
  const size_t at = spec.find("ms=");
  return at == std::string::npos ? 100 : std::atoll(spec.c_str() + at + 3);
}

}  // namespace

Advice::Advice()
    : server_(std::make_unique<Server>([this](const Request& r) { return Handle(r); })) {}

Response Advice::Handle(const Request& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (request.path != "/-/advise" || body.is_discarded()) return {400, "{}"};
  const std::string step = body.at("step");
  SleepMs(15);
  const std::lock_guard lock(mutex_);
  Json granted = Json::array();
  for (const Json& worker : body.at("workers")) {
    tickets_[step + " " + worker.get<std::string>()] = SteadyMs() + kValidMs;
    granted.push_back({worker, step + "/" + worker.get<std::string>()});
  }
  return {200, Json{{"granted", granted}, {"validityMs", kValidMs}}.dump()};
}

bool Advice::Valid(const std::string& step, const std::string& worker, const std::string& ticket) {
  const std::lock_guard lock(mutex_);
  const auto found = tickets_.find(step + " " + worker);
  return found != tickets_.end() && found->second > SteadyMs() && ticket == step + "/" + worker;
}

Worker::Worker(std::string id, std::string service, std::string zone, std::string rack,
               Store& store, Advice& advice, History& history, Record& record)
    : id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      rack_(std::move(rack)),
      store_(store),
      advice_(advice),
      history_(history),
      record_(record),
      start_(SteadyMs() - 1000),
      born_(WallMs() - 1000) {
  server_ = std::make_unique<Server>([this](const Request& r) { return Handle(r); });
  std::thread([this] {
    while (true) {
      Beat();
      SleepMs(kBeatMs);
    }
  }).detach();
  std::thread([this] {
    while (true) {
      SleepMs(5);
      const std::lock_guard lock(mutex_);
      Advance();
    }
  }).detach();
}

void Worker::Beat() {
  if (!store_.up()) return;
  store_.Put("servers/" + id_,
             Json{{"service", service_},
                  {"address", server_->address()},
                  {"zone", zone_},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", "ready"},
                  {"coldLeftMs", 0},
                  {"capacity", {{"cpu", 32000}, {"memMb", 65536}, {"gpus", 0}}},
                  {"labels", {"a", rack_}},
                  {"clockMs", Clock()},
                  {"born", born_},
                  {"seq", ++sequence_}}
                 .dump());
}

int Worker::running() {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(running_.size());
}

void Worker::AddEnd(const std::string& task, int64_t run, const std::string& how) {
  int64_t& barred = barred_[task];
  barred = std::max(barred, run);
  size_t index = 0;
  {
    const std::lock_guard lock(history_.mutex);
    index = history_.ends.size();
    history_.ends.push_back({id_, task, how, run, record_.Now(), false});
  }
  record_.Line("end worker=" + id_ + " task=" + task + " run=" + std::to_string(run) + " how=" + how);
  listed_.push_back({++last_number_, task, run, how, index});
  ended_.notify_all();
}

void Worker::Advance() {
  const int64_t now = Clock();
  const bool lapsed = now >= lease_;
  for (auto it = running_.begin(); it != running_.end();) {
    const bool done = it->second.until != 0 && now >= it->second.until;
    if (!done && !lapsed) {
      ++it;
      continue;
    }
    const auto [task, run] = *it;
    it = running_.erase(it);
    AddEnd(task, run.run, done ? "done" : "lapsed");
  }
}

Response Worker::Handle(const Request& request) {
  if (request.path == "/health") return {200, "{}"};
  const auto expected = request.headers.find("expect-instance");
  if (expected != request.headers.end() && expected->second != id_) return {421, "{}"};
  const Json body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded()) return {400, "{}"};
  if (request.path == "/-/run-start") return Start(body);
  if (request.path == "/-/run-stop") return Stop(body);
  if (request.path == "/-/hold") return Hold(body);
  if (request.path == "/-/pace") return {200, Json{{"clockMs", Clock()}}.dump()};
  return {404, "{}"};
}

Response Worker::Start(const Json& body) {
  const std::lock_guard lock(mutex_);
  Advance();
  const std::string task = body.at("task");
  const int64_t run = body.at("run"), token = body.value("fencingToken", int64_t{0});
  const auto refuse = [&](const char* reason) {
    record_.Line("refused worker=" + id_ + " task=" + task + " run=" + std::to_string(run) +
                 " reason=" + reason);
    return Response{409, Json{{"clockMs", Clock()}, {"reason", reason}}.dump()};
  };
  if (token < token_) return refuse("fence");
  token_ = token;
  const int64_t deadline =
      std::min(body.at("deadlineMs").get<int64_t>(), Clock() + kMaxHoldMs);
  const Response fine{200, Json{{"clockMs", Clock()}}.dump()};
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.run == run) {
    lease_ = std::max(lease_, deadline);
    return fine;
  }
  const auto barred = barred_.find(task);
  if (barred != barred_.end() && run <= barred->second) {
    lease_ = std::max(lease_, deadline);
    return refuse("old");
  }
  if (deadline <= Clock()) return refuse("late");
  if (body.at("spec").get<std::string>().find("ticket") != std::string::npos &&
      !advice_.Valid(task.substr(0, task.rfind('.')), id_, body.value("ticket", ""))) {
    return refuse("ticket");
  }
  lease_ = std::max(lease_, deadline);
  const int64_t lasts = DurationOf(body.at("spec"), task);
  running_[task] = {run, lasts == 0 ? 0 : Clock() + lasts};
  {
    const std::lock_guard held(history_.mutex);
    history_.starts.push_back({id_, task, body.at("spec"), run, token, WallMs(), record_.Now()});
  }
  record_.Line("start worker=" + id_ + " task=" + task + " run=" + std::to_string(run) +
               " token=" + std::to_string(token));
  return fine;
}

Response Worker::Stop(const Json& body) {
  const std::lock_guard lock(mutex_);
  Advance();
  const std::string task = body.at("task");
  const int64_t run = body.at("run"), token = body.value("fencingToken", int64_t{0});
  if (token < token_) return {409, Json{{"clockMs", Clock()}, {"reason", "fence"}}.dump()};
  token_ = token;
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.run == run) {
    running_.erase(found);
    AddEnd(task, run, "stopped");
  } else {
    int64_t& barred = barred_[task];
    barred = std::max(barred, run);
  }
  return {200, Json{{"clockMs", Clock()}}.dump()};
}

Response Worker::Hold(const Json& body) {
  std::unique_lock lock(mutex_);
  Advance();
  const int64_t token = body.value("fencingToken", int64_t{0});
  if (token < token_) return {409, Json{{"clockMs", Clock()}, {"reason", "fence"}}.dump()};
  token_ = token;
  const int64_t seen = body.value("lastSeen", int64_t{0});
  while (!listed_.empty() && listed_.front().number <= seen) {
    const std::lock_guard held(history_.mutex);
    history_.ends[listed_.front().index].noted = true;
    listed_.pop_front();
  }
  if (body.contains("deadlineMs")) {
    lease_ = std::max(lease_, std::min(body.at("deadlineMs").get<int64_t>(), Clock() + kMaxHoldMs));
  }
  const int64_t wait = std::min<int64_t>(2000, body.value("waitMs", int64_t{0}));
  ended_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return !listed_.empty(); });
  Json running = Json::array(), ended = Json::array();
  for (const auto& [task, run] : running_) running.push_back({task, run.run, "", 100, 0});
  for (const Ended& end : listed_) {
    if (ended.size() >= 500) break;
    ended.push_back({end.number, end.task, end.run, end.how, ""});
  }
  return {200, Json{{"clockMs", Clock()}, {"born", born_}, {"running", running}, {"ended", ended}}
                   .dump()};
}

}  // namespace review
