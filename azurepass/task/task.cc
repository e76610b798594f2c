// The GLib half of the task runtime: loops, queues and timers.
//
// A Queue is a GSource over a GAsyncQueue. Its prepare and check steps only
// look whether the queue has something; a push wakes the loop's poll. A
// dispatch drains a bounded number of closures, so that a flood of messages
// does not starve sockets and timers of the same loop.

#include "azurepass/task/task.h"

#include <algorithm>

namespace azurepass::task {
namespace internal {
namespace {

// Messages delivered in one round of the loop.
constexpr int kMaxBatch = 128;

using Work = std::function<void()>;

struct QueueSource {
  GSource base;
  GAsyncQueue* queue;
};

gboolean HasWork(GSource* source) {
  auto* self = reinterpret_cast<QueueSource*>(source);
  return g_async_queue_length(self->queue) > 0 ? TRUE : FALSE;
}

gboolean Prepare(GSource* source, gint* timeout) {
  *timeout = -1;
  return HasWork(source);
}

gboolean Dispatch(GSource* source, GSourceFunc /*unused*/,
                  gpointer /*unused*/) {
  auto* self = reinterpret_cast<QueueSource*>(source);
  for (int i = 0; i < kMaxBatch && !g_source_is_destroyed(source); ++i) {
    std::unique_ptr<Work> work(
        static_cast<Work*>(g_async_queue_try_pop(self->queue)));
    if (work == nullptr) break;
    (*work)();
  }
  return G_SOURCE_CONTINUE;
}

void Finalize(GSource* source) {
  g_async_queue_unref(reinterpret_cast<QueueSource*>(source)->queue);
}

GSourceFuncs queue_source_functions = {Prepare,  HasWork, Dispatch,
                                       Finalize, nullptr, nullptr};

void DeleteWork(gpointer work) { delete static_cast<Work*>(work); }

}  // namespace

Queue::Queue(GMainContext* context)
    : context_(g_main_context_ref(context)),
      queue_(g_async_queue_new_full(DeleteWork)),
      source_(g_source_new(&queue_source_functions, sizeof(QueueSource))) {
  reinterpret_cast<QueueSource*>(source_)->queue = g_async_queue_ref(queue_);
  g_source_attach(source_, context);
}

Queue::~Queue() {
  Close();
  g_source_unref(source_);
  g_async_queue_unref(queue_);
  g_main_context_unref(context_);
}

void Queue::Push(std::function<void()> work) {
  if (g_source_is_destroyed(source_)) return;
  g_async_queue_push(queue_, new Work(std::move(work)));
  g_main_context_wakeup(context_);
}

void Queue::Close() { g_source_destroy(source_); }

}  // namespace internal

Loop::Loop()
    : context_(g_main_context_new()), loop_(g_main_loop_new(context_, FALSE)) {}

Loop::~Loop() {
  Stop();
  g_main_loop_unref(loop_);
  g_main_context_unref(context_);
}

void Loop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void Loop::Run() {
  g_main_context_push_thread_default(context_);
  g_main_loop_run(loop_);
  g_main_context_pop_thread_default(context_);
}

void Loop::Quit() {
  // Posted, so that a Quit before the loop runs is not lost.
  GSource* source = g_idle_source_new();
  g_source_set_callback(
      source,
      [](gpointer loop) -> gboolean {
        g_main_loop_quit(static_cast<GMainLoop*>(loop));
        return G_SOURCE_REMOVE;
      },
      loop_, nullptr);
  g_source_attach(source, context_);
  g_source_unref(source);
}

void Loop::Stop() {
  if (!thread_.joinable()) return;
  Quit();
  thread_.join();
}

struct Timer::Callback {
  Timer* timer;
  bool repeat;
  std::function<void()> run;
};

void Timer::After(Duration delay, std::function<void()> callback) {
  Arm(delay, false, std::move(callback));
}

void Timer::Every(Duration interval, std::function<void()> callback) {
  Arm(interval, true, std::move(callback));
}

void Timer::Arm(Duration delay, bool repeat, std::function<void()> callback) {
  Cancel();
  const auto clamped = std::max<Duration::rep>(0, delay.count());
  source_ = g_timeout_source_new(static_cast<guint>(clamped));
  g_source_set_callback(
      source_, OnFire, new Callback{this, repeat, std::move(callback)},
      [](gpointer data) { delete static_cast<Callback*>(data); });
  g_source_attach(source_, context_);
}

gboolean Timer::OnFire(gpointer data) {
  auto* callback = static_cast<Callback*>(data);
  if (callback->repeat) {
    callback->run();
    return G_SOURCE_CONTINUE;
  }
  // The callback may arm the timer again, which frees `data`.
  const std::function<void()> run = std::move(callback->run);
  g_clear_pointer(&callback->timer->source_, g_source_unref);
  run();
  return G_SOURCE_REMOVE;
}

void Timer::Cancel() {
  if (source_ == nullptr) return;
  g_source_destroy(source_);
  g_clear_pointer(&source_, g_source_unref);
}

}  // namespace azurepass::task
