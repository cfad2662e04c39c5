#include "tasks/event_loop.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gorsevalve {
namespace {

/// Longest wait of one iteration, which bounds the delay until `stop` from a signal handler takes
/// effect.
constexpr Duration kMaxWait = std::chrono::milliseconds(100);

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
    run_once(kMaxWait);
  }
}

void EventLoop::run_once(Duration max_wait) {
  h2o_evloop_run(loop_, wait_ms(max_wait));
  may_have_pending_events_ = false;
  run_due_timers();
}

std::int32_t EventLoop::wait_ms(Duration max_wait) const {
  if (may_have_pending_events_) {
    return 0;
  }
  Duration wait = max_wait;
  if (!timers_.empty()) {
    wait = std::min(wait, timers_.begin()->first.first - monotonic_now());
  }
  // Rounded up, so that the loop does not turn idly until a timer is due.
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  return static_cast<std::int32_t>(std::max<std::int64_t>(milliseconds, 0));
}

void EventLoop::every(Duration interval, std::function<void()> action) {
  add_timer(interval, {interval, std::move(action)});
}

void EventLoop::after(Duration delay, std::function<void()> action) {
  add_timer(delay, {Duration::zero(), std::move(action)});
}

void EventLoop::add_timer(Duration delay, Timer timer) {
  timers_.emplace(TimerKey{monotonic_now() + delay, ++last_timer_}, std::move(timer));
}

void EventLoop::run_due_timers() {
  if (timers_.empty()) {
    return;
  }
  const Instant now = monotonic_now();
  // Timers that an action adds wait for the next iteration, even if they are due.
  const std::uint64_t last = last_timer_;
  while (!timers_.empty() && timers_.begin()->first.first <= now &&
         timers_.begin()->first.second <= last) {
    run_timer(timers_.extract(timers_.begin()));
  }
}

void EventLoop::run_timer(std::map<TimerKey, Timer>::node_type timer) {
  may_have_pending_events_ = true;
  if (timer.mapped().interval == Duration::zero()) {
    timer.mapped().action();
    return;
  }
  timer.key() = {monotonic_now() + timer.mapped().interval, ++last_timer_};
  timers_.insert(std::move(timer)).position->second.action();
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
