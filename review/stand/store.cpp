#include <algorithm>

#include "cell.hpp"

namespace review {
namespace {

constexpr size_t kHistory = 20'000;
constexpr size_t kPageItems = 500, kPageBytes = 1'000'000;

std::string ToBase64(const std::string& bytes) {
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

Response Reply(int status, const Json& body) { return {status, body.dump()}; }

}  // namespace

Store::Store(int nodes) {
  for (int i = 0; i < nodes; ++i) {
    servers_.push_back(std::make_unique<Server>([this, i](const Request& r) { return Handle(i, r); }));
  }
  std::thread([this] {
    while (true) {
      SleepMs(20);
      ExpireLeases();
    }
  }).detach();
}

void Store::SetSilent(bool silent, bool leases_pause) {
  const std::lock_guard lock(mutex_);
  if (silent) {
    silent_since_ = SteadyMs();
    leases_pause_ = leases_pause;
  } else if (silent_ && leases_pause_) {
    for (auto& [id, lease] : leases_) lease.until += SteadyMs() - silent_since_;
  }
  silent_ = silent;
  changed_.notify_all();
}

void Store::SetCut(int node, bool cut) {
  const std::lock_guard lock(mutex_);
  if (cut) {
    cut_.insert(node);
  } else {
    cut_.erase(node);
  }
  changed_.notify_all();
}

bool Store::up() {
  const std::lock_guard lock(mutex_);
  return !silent_;
}

int Store::last_conditional_writer() {
  const std::lock_guard lock(mutex_);
  return last_writer_;
}

int64_t Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Write(key, ToBase64(value), 0, ++revision_);
  return revision_;
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.contains(key)) Erase(key, ++revision_);
}

bool Store::Has(const std::string& part) {
  const std::lock_guard lock(mutex_);
  return std::any_of(items_.begin(), items_.end(),
                     [&](const auto& item) { return item.first.find(part) != std::string::npos; });
}

Json Store::ItemJson(const std::string& key, const Item& item) const {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void Store::Write(const std::string& key, const std::string& value, int64_t lease,
                  int64_t revision) {
  Item& item = items_[key];
  if (item.created == 0) item.created = revision;
  item.value = value;
  item.revision = revision;
  item.lease = lease;
  events_.push_back({revision, key, ItemJson(key, item)});
  if (events_.size() > kHistory) events_.pop_front();
  changed_.notify_all();
}

void Store::Erase(const std::string& key, int64_t revision) {
  items_.erase(key);
  events_.push_back({revision, key, {{"key", key}, {"revision", revision}, {"tombstone", true}}});
  if (events_.size() > kHistory) events_.pop_front();
  changed_.notify_all();
}

void Store::ExpireLeases() {
  const std::lock_guard lock(mutex_);
  if (silent_ && leases_pause_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.until > SteadyMs()) {
      ++it;
      continue;
    }
    std::vector<std::string> gone;
    for (const auto& [key, item] : items_) {
      if (item.lease == it->first) gone.push_back(key);
    }
    for (const std::string& key : gone) Erase(key, ++revision_);
    it = leases_.erase(it);
  }
}

Response Store::Txn(int node, const Json& body) {
  if (body.value("setKeys", Json::array()).size() + body.value("remove", Json::array()).size() +
          body.value("precondition", Json::array()).size() >
      32) {
    return Reply(400, Json::object());
  }
  const Json rows = body.value("precondition", Json::array());
  bool holds = true;
  Json current = Json::array();
  for (const Json& row : rows) {
    const std::string key = row.at("key");
    const auto found = items_.find(key);
    const int64_t revision = found == items_.end() ? 0 : found->second.revision;
    holds = holds && revision == row.at("revision").get<int64_t>();
    if (found != items_.end()) current.push_back(ItemJson(key, found->second));
  }
  if (!holds) return Reply(412, {{"items", current}});
  for (const Json& item : body.value("setKeys", Json::array())) {
    const int64_t lease = item.value("lease", int64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return Reply(404, Json::object());
    const std::string key = item.at("key");
    if (key.starts_with("op/") || key.starts_with("servers/")) return Reply(403, Json::object());
    if (item.at("value").get_ref<const std::string&>().size() > 1'398'104) {
      return Reply(400, Json::object());
    }
  }
  const int64_t revision = ++revision_;
  for (const Json& item : body.value("setKeys", Json::array())) {
    Write(item.at("key"), item.at("value"), item.value("lease", int64_t{0}), revision);
  }
  for (const Json& key : body.value("remove", Json::array())) {
    if (items_.contains(key.get<std::string>())) Erase(key, revision);
  }
  if (!rows.empty()) last_writer_ = node;
  return Reply(200, {{"revision", revision}});
}

Response Store::Watch(const Request& request, int node, std::unique_lock<std::mutex>& lock) {
  const auto get = [&](const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
  };
  const std::string prefix = get("prefix");
  const int64_t after = std::atoll(get("after").c_str());
  const int64_t until =
      SteadyMs() + std::min<int64_t>(30'000, std::atoll(get("waitMs").c_str()));
  while (true) {
    if (silent_ || cut_.contains(node)) return {0, "", true};
    if (!events_.empty() && events_.front().revision > after + 1 && events_.size() >= kHistory) {
      return Reply(410, Json::object());
    }
    Json events = Json::array();
    for (const Event& event : events_) {
      if (event.revision > after && event.key.starts_with(prefix)) events.push_back(event.json);
    }
    if (!events.empty() || SteadyMs() >= until) {
      return Reply(200, {{"events", events}, {"currentRev", revision_}});
    }
    changed_.wait_for(lock, std::chrono::milliseconds(std::max<int64_t>(1, until - SteadyMs())));
  }
}

// A call that comes while the store is silent hangs for a while and then breaks
// without an answer; nothing is done.
bool Store::Admit(int node) {
  std::unique_lock lock(mutex_);
  if (!silent_ && !cut_.contains(node)) return true;
  changed_.wait_for(lock, std::chrono::seconds(20),
                    [&] { return !silent_ && !cut_.contains(node); });
  return false;
}

Response Store::Handle(int node, const Request& request) {
  if (!Admit(node)) return {0, "", true};
  SleepMs(4);
  std::unique_lock lock(mutex_);
  const auto get = [&](const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
  };
  const Json body = request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
  if (request.path == "/-/kv-key") {
    const auto found = items_.find(get("key"));
    if (found == items_.end()) return Reply(404, {{"currentRev", revision_}});
    Json item = ItemJson(found->first, found->second);
    item["currentRev"] = revision_;
    return Reply(200, item);
  }
  if (request.path == "/-/kv-range") {
    const std::string prefix = get("prefix"), after = get("after");
    Json list = Json::array();
    size_t bytes = 0;
    bool truncated = false;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it) {
      if (!after.empty() && it->first <= after) continue;
      if (list.size() >= kPageItems || bytes > kPageBytes) {
        truncated = true;
        break;
      }
      bytes += it->second.value.size();
      list.push_back(ItemJson(it->first, it->second));
    }
    return Reply(200, {{"items", list}, {"truncated", truncated}, {"currentRev", revision_}});
  }
  if (request.path == "/-/kv-watch") return Watch(request, node, lock);
  if (request.path == "/-/kv-txn") return Txn(node, body);
  if (request.path == "/-/kv-lease") {
    const int64_t ttl = std::clamp<int64_t>(body.value("ttlMs", int64_t{1000}), 1000, 600'000);
    leases_[++next_lease_] = {ttl, SteadyMs() + ttl};
    return Reply(200, {{"lease", next_lease_}, {"ttlMs", ttl}});
  }
  if (request.path.starts_with("/-/kv-keep/")) {
    const auto found = leases_.find(std::atoll(request.path.c_str() + 11));
    if (found == leases_.end()) return Reply(404, Json::object());
    found->second.until = SteadyMs() + found->second.ttl;
    return Reply(200, {{"ttlMs", found->second.ttl}});
  }
  if (request.path.starts_with("/-/kv-lease-end/")) {
    const auto found = leases_.find(std::atoll(request.path.c_str() + 16));
    if (found == leases_.end()) return Reply(404, Json::object());
    found->second.until = 0;
    lock.unlock();
    ExpireLeases();
    return Reply(200, Json::object());
  }
  return Reply(404, Json::object());
}

}  // namespace review
