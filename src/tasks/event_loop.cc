#include "tasks/event_loop.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace gorsevalve {
namespace {

/// Longest wait of one iteration, which bounds the delay until `stop` from a signal handler takes
/// effect.
constexpr std::int32_t kMaxWaitMs = 100;

}  // namespace

Instant monotonic_now() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(now));
}

std::uint64_t unix_now_ms() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0));
}

/// One h2o timeout with its action. The entry must stay the first member: `on_timeout` casts it to
/// the timer.
struct EventLoop::Timer {
  h2o_timeout_entry_t entry{};
  h2o_timeout_t timeout{};
  h2o_loop_t* loop = nullptr;
  bool repeats = false;
  /// Time of the loop when the timer fired; empty before.
  std::optional<std::uint64_t> finished_at;
  std::function<void()> action;

  ~Timer() {
    h2o_timeout_unlink(&entry);
    h2o_timeout_dispose(loop, &timeout);
  }

  static void on_timeout(h2o_timeout_entry_t* entry) {
    auto* timer = reinterpret_cast<Timer*>(entry);
    if (timer->repeats) {
      h2o_timeout_link(timer->loop, &timer->timeout, &timer->entry);
    }
    timer->action();
    if (!timer->repeats) {
      timer->finished_at = h2o_now(timer->loop);
    }
  }
};

/// An action queued by `post`. `message` must stay the first member.
struct EventLoop::PostedAction {
  h2o_multithread_message_t message{};
  std::function<void()> action;
};

EventLoop::EventLoop() : loop_(h2o_evloop_create()), queue_(h2o_multithread_create_queue(loop_)) {
  h2o_multithread_register_receiver(queue_, &receiver_, &EventLoop::run_posted_actions);
}

EventLoop::~EventLoop() {
  timers_.clear();
  // h2o 2.2 cannot destroy a loop that still has sockets, so the loop is never freed.
}

void EventLoop::run() {
  while (!stopping_.load()) {
    h2o_evloop_run(loop_, kMaxWaitMs);
  }
}

void EventLoop::every(Duration interval, std::function<void()> action) {
  after(interval, std::move(action));
  timers_.back()->repeats = true;
}

void EventLoop::drop_finished_timers() {
  // h2o still refers to a fired timer while it runs sockets that became ready in the meantime. It
  // drops the reference before its time advances.
  const std::uint64_t now = h2o_now(loop_);
  std::erase_if(timers_, [now](const std::unique_ptr<Timer>& timer) {
    return timer->finished_at && *timer->finished_at != now;
  });
}

void EventLoop::after(Duration delay, std::function<void()> action) {
  drop_finished_timers();
  auto timer = std::make_unique<Timer>();
  timer->loop = loop_;
  timer->action = std::move(action);
  timer->entry.cb = &Timer::on_timeout;
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
  h2o_timeout_init(loop_, &timer->timeout, static_cast<std::uint64_t>(milliseconds));
  h2o_timeout_link(loop_, &timer->timeout, &timer->entry);
  timers_.push_back(std::move(timer));
}

void EventLoop::post(std::function<void()> action) {
  auto* posted = new PostedAction;
  posted->action = std::move(action);
  h2o_multithread_send_message(&receiver_, &posted->message);
}

void EventLoop::run_posted_actions(h2o_multithread_receiver_t* /*receiver*/,
                                   h2o_linklist_t* messages) {
  while (!h2o_linklist_is_empty(messages)) {
    auto* message = H2O_STRUCT_FROM_MEMBER(h2o_multithread_message_t, link, messages->next);
    h2o_linklist_unlink(&message->link);
    const std::unique_ptr<PostedAction> posted(reinterpret_cast<PostedAction*>(message));
    posted->action();
  }
}

}  // namespace gorsevalve
