// The task runtime. A task is an object that owns its state and its sockets
// and lives on one Loop; nobody else touches it. Tasks talk by messages: a
// Mailbox delivers them one at a time on the task's loop, an Address lets
// anyone send. Nothing is shared, so nothing is locked; nothing spins, because
// a loop sleeps in GLib's poll until a message, a socket or a timer wakes it.
//
// Usage:
//
//   class Counter {
//    public:
//     explicit Counter(Loop& loop)
//         : mailbox_(loop, [this](Message m) { Handle(std::move(m)); }) {}
//     Address<Message> address() const { return mailbox_.address(); }
//    private:
//     void Handle(Message m) { std::visit(Visitor{...}, std::move(m)); }
//     Mailbox<Message> mailbox_;
//   };
//
// Lifetime. A task is constructed before its loop runs, or on the loop itself,
// and destroyed on the loop or after the loop has stopped. Messages sent to a
// mailbox that is gone are dropped.
//
// Address<T> converts to Address<U> when T can be built from U, so that a task
// whose message is variant<A, B> can give out an Address<A>. Map() wraps a
// payload on its way, to add what the receiver needs to tell answers apart.

#ifndef AZUREPASS_TASK_TASK_H_
#define AZUREPASS_TASK_TASK_H_

#include <glib.h>

#include <functional>
#include <memory>
#include <thread>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"

namespace azurepass::task {

// Sends messages of type T to whoever owns the mailbox. Copyable, callable
// from any thread; an empty address drops what it is sent.
template <class T>
class Address {
 public:
  Address() = default;
  explicit Address(std::function<void(T)> send)
      : send_(std::make_shared<std::function<void(T)>>(std::move(send))) {}

  // From the address of a wider message.
  template <class Wide>
  requires(!std::is_same_v<Wide, T> && std::is_constructible_v<Wide, T>)
      Address(const Address<Wide>& wide)  // NOLINT(google-explicit-constructor)
      : Address([wide](T message) { wide.Send(Wide(std::move(message))); }) {}

  void Send(T message) const {
    if (send_ != nullptr) (*send_)(std::move(message));
  }

  // An address that turns each U into a T by `wrap` before it is sent. `wrap`
  // runs on the sender's thread and must own all it uses.
  template <class U, class Wrap>
  Address<U> Map(Wrap wrap) const {
    return Address<U>([to = *this, wrap = std::move(wrap)](U payload) {
      to.Send(wrap(std::move(payload)));
    });
  }

  explicit operator bool() const { return send_ != nullptr; }

 private:
  std::shared_ptr<std::function<void(T)>> send_;
};

namespace internal {

// All messages to the mailboxes of one loop, in the order of their arrival.
class Messages {
 public:
  explicit Messages(GMainContext* context);
  ~Messages();
  Messages(const Messages&) = delete;
  Messages& operator=(const Messages&) = delete;

  // Runs `work` on the loop unless `closed` is set by then.
  void Push(std::shared_ptr<const gint> closed, std::function<void()> work);

 private:
  GMainContext* context_;
  GAsyncQueue* queue_;
  GSource* source_;
};

// The untyped half of a mailbox.
class Queue {
 public:
  explicit Queue(std::shared_ptr<Messages> messages);

  void Push(std::function<void()> work);
  // Nothing pushed before or after is run any more.
  void Close();

 private:
  std::shared_ptr<Messages> messages_;
  std::shared_ptr<gint> closed_;  // Read and set atomically.
};

}  // namespace internal

// One thread that sleeps in a GMainContext and runs the tasks that live on it.
class Loop {
 public:
  Loop();
  // Stops and joins the thread.
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  GMainContext* context() const { return context_; }
  const std::shared_ptr<internal::Messages>& messages() const {
    return messages_;
  }

  // Starts the thread. Alternatively Run() uses the calling one.
  void Start();
  // Runs on the calling thread until Quit.
  void Run();
  // Ends the loop; callable from any thread.
  void Quit();
  // Ends the loop and waits for its thread.
  void Stop();

 private:
  GMainContext* context_;
  GMainLoop* loop_;
  std::shared_ptr<internal::Messages> messages_;
  std::thread thread_;
};

// Delivers messages of type T to a handler on the owner's loop, in the order
// of their arrival.
template <class T>
class Mailbox {
 public:
  Mailbox(Loop& loop, std::function<void(T)> handler)
      : queue_(std::make_shared<internal::Queue>(loop.messages())),
        handler_(std::make_shared<std::function<void(T)>>(std::move(handler))) {
  }
  ~Mailbox() { queue_->Close(); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  Address<T> address() const {
    return Address<T>([queue = queue_, handler = handler_](T message) {
      auto shared = std::make_shared<T>(std::move(message));
      queue->Push([handler, shared] { (*handler)(std::move(*shared)); });
    });
  }

 private:
  std::shared_ptr<internal::Queue> queue_;
  std::shared_ptr<std::function<void(T)>> handler_;
};

// A task that passes messages on to an address that is known only later, for
// two tasks of which each needs the other's address. What comes before Connect
// is kept.
template <class T>
class Relay {
 public:
  explicit Relay(Loop& loop)
      : mailbox_(loop, [this](Inbox inbox) { Handle(std::move(inbox)); }) {}

  Address<T> address() const { return mailbox_.address(); }
  // The first receiver counts.
  void Connect(Address<T> receiver) {
    mailbox_.address().Send(Inbox(Receiver{std::move(receiver)}));
  }

 private:
  struct Receiver {
    Address<T> address;
  };
  using Inbox = std::variant<T, Receiver>;

  void Handle(Inbox inbox) {
    std::visit(Visitor{
                   [this](T& message) { Pass(std::move(message)); },
                   [this](Receiver& receiver) { Open(receiver.address); },
               },
               inbox);
  }
  void Pass(T message) {
    if (receiver_) {
      receiver_.Send(std::move(message));
    } else {
      kept_.push_back(std::move(message));
    }
  }
  void Open(const Address<T>& receiver) {
    if (receiver_) return;
    receiver_ = receiver;
    for (T& message : std::exchange(kept_, {})) Pass(std::move(message));
  }

  Address<T> receiver_;
  std::vector<T> kept_;
  Mailbox<Inbox> mailbox_;
};

// Calls back on its loop after a delay, once or again and again. Belongs to
// the task that holds it; destroying or cancelling it stops the calls.
class Timer {
 public:
  explicit Timer(Loop& loop) : context_(loop.context()) {}
  ~Timer() { Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Replaces whatever was set before.
  void After(Duration delay, std::function<void()> callback);
  void Every(Duration interval, std::function<void()> callback);
  void Cancel();
  bool active() const { return source_ != nullptr; }

 private:
  struct Callback;
  void Arm(Duration delay, bool repeat, std::function<void()> callback);
  static gboolean OnFire(gpointer data);

  GMainContext* context_;
  GSource* source_ = nullptr;
};

}  // namespace azurepass::task

#endif  // AZUREPASS_TASK_TASK_H_
