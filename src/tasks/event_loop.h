/// An h2o event loop that is used by one thread. It provides timers and runs actions that other
/// threads post. The timers use the monotonic clock: timeouts of h2o use the time of day, so they
/// stop while it is behind an earlier reading.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "model/time.h"
#include "tasks/h2o.h"

namespace gorsevalve {

/// Current time of the monotonic clock.
Instant monotonic_now();
/// Wall-clock time in Unix milliseconds. It may jump: use it only for comparison with timestamps of
/// other machines, never to measure durations.
std::uint64_t unix_now_ms();

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until `stop` is called.
  void run();
  /// Waits at most `max_wait` for sockets, posted actions and timers, and handles those that are
  /// due.
  void run_once(Duration max_wait);
  /// Makes `run` return. May be called from any thread and from a signal handler.
  void stop() { stopping_.store(true); }

  /// Calls `action` every `interval` until the loop is destroyed.
  void every(Duration interval, std::function<void()> action);
  /// Calls `action` once after `delay`.
  void after(Duration delay, std::function<void()> action);

  /// Runs `action` on the thread of this loop. May be called from any thread.
  void post(std::function<void()> action);

  /// Keeps an object alive until the loop and its timers are destroyed. Required for objects that
  /// h2o's internal lists refer to, such as timeouts and contexts.
  void retain(std::shared_ptr<void> object) { retained_.push_back(std::move(object)); }
  [[nodiscard]] std::size_t timers() const { return timers_.size(); }
  [[nodiscard]] h2o_loop_t* raw() { return loop_; }

 private:
  struct PostedAction;
  struct Timer {
    /// Zero for a timer that fires once.
    Duration interval{0};
    std::function<void()> action;
  };
  /// When a timer is due, and its position among those due at the same time.
  using TimerKey = std::pair<Instant, std::uint64_t>;

  void add_timer(Duration delay, Timer timer);
  void run_due_timers();
  void run_timer(std::map<TimerKey, Timer>::node_type timer);
  /// How long to wait for sockets, in milliseconds.
  [[nodiscard]] std::int32_t wait_ms(Duration max_wait) const;
  static void run_posted_actions(h2o_multithread_receiver_t* receiver, h2o_linklist_t* messages);

  h2o_loop_t* loop_;
  h2o_multithread_queue_t* queue_;
  h2o_multithread_receiver_t receiver_{};
  std::atomic<bool> stopping_{false};
  /// Declared before the timers, so it is destroyed after them.
  std::vector<std::shared_ptr<void>> retained_;
  std::map<TimerKey, Timer> timers_;
  std::uint64_t last_timer_ = 0;
  /// A timer fired, so h2o may hold socket events that it handles only after its next wait.
  bool may_have_pending_events_ = false;
};

}  // namespace gorsevalve
