// The GLib half of the task runtime: loops, queues and timers.
//
// All messages of a loop wait in one GAsyncQueue behind one GSource. Its
// prepare and check steps only look whether there is something. A dispatch
// drains a bounded number of messages, so that a flood of them does not starve
// sockets and timers, and with them those that they lead to: a message that
// passes through several tasks of a loop takes one round of it, not one for
// each. A push from another thread wakes the loop's poll; one from its own need
// not, because the loop looks at the queue before it polls.

#include "azurepass/task/task.h"

#include <algorithm>

namespace azurepass::task {
namespace internal {
namespace {

// Messages delivered in one round of the loop.
constexpr int kMaxBatch = 256;

// A message on its way to a mailbox.
struct Delivery {
  std::shared_ptr<const gint> closed;
  std::function<void()> work;
};

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
    std::unique_ptr<Delivery> delivery(
        static_cast<Delivery*>(g_async_queue_try_pop(self->queue)));
    if (delivery == nullptr) break;
    if (g_atomic_int_get(delivery->closed.get()) == 0) delivery->work();
  }
  return G_SOURCE_CONTINUE;
}

void Finalize(GSource* source) {
  g_async_queue_unref(reinterpret_cast<QueueSource*>(source)->queue);
}

GSourceFuncs queue_source_functions = {Prepare,  HasWork, Dispatch,
                                       Finalize, nullptr, nullptr};

void DeleteDelivery(gpointer delivery) {
  delete static_cast<Delivery*>(delivery);
}

}  // namespace

Messages::Messages(GMainContext* context)
    : context_(g_main_context_ref(context)),
      queue_(g_async_queue_new_full(DeleteDelivery)),
      source_(g_source_new(&queue_source_functions, sizeof(QueueSource))) {
  reinterpret_cast<QueueSource*>(source_)->queue = g_async_queue_ref(queue_);
  g_source_attach(source_, context);
}

Messages::~Messages() {
  g_source_destroy(source_);
  g_source_unref(source_);
  g_async_queue_unref(queue_);
  g_main_context_unref(context_);
}

void Messages::Push(std::shared_ptr<const gint> closed,
                    std::function<void()> work) {
  g_async_queue_push(queue_, new Delivery{std::move(closed), std::move(work)});
  if (!g_main_context_is_owner(context_)) g_main_context_wakeup(context_);
}

Queue::Queue(std::shared_ptr<Messages> messages)
    : messages_(std::move(messages)), closed_(std::make_shared<gint>(0)) {}

void Queue::Push(std::function<void()> work) {
  if (g_atomic_int_get(closed_.get()) != 0) return;
  messages_->Push(closed_, std::move(work));
}

void Queue::Close() { g_atomic_int_set(closed_.get(), 1); }

}  // namespace internal

Loop::Loop()
    : context_(g_main_context_new()),
      loop_(g_main_loop_new(context_, FALSE)),
      messages_(std::make_shared<internal::Messages>(context_)) {}

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
