/// An h2o event loop that belongs to one task, with timers and a mailbox for other threads.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "model/time.h"
#include "tasks/h2o.h"

namespace gorsevalve {

/// Reading of the monotonic clock.
Instant monotonic_now();
/// The machine's time of day in Unix milliseconds. It may jump: only to compare with times that
/// other machines tell, never to measure how long something takes.
std::uint64_t unix_now_ms();

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until `stop` is called.
  void run();
  /// Ends `run`. May be called from any thread and from a signal handler.
  void stop() { stopping_.store(true); }

  /// Calls `action` every `interval`, from now until the loop is destroyed.
  void every(Duration interval, std::function<void()> action);
  /// Calls `action` once after `delay`.
  void after(Duration delay, std::function<void()> action);

  /// Runs `action` on this loop's thread. May be called from any thread: this is how tasks send
  /// messages to each other.
  void post(std::function<void()> action);

  /// Keeps something until the loop and its timers are gone: what h2o's lists of the loop lead to
  /// (timeouts, contexts) must outlive the owner of it.
  void retain(std::shared_ptr<void> held) { retained_.push_back(std::move(held)); }
  /// Timers that are held, those that have fired lately among them.
  [[nodiscard]] std::size_t timers() const { return timers_.size(); }
  [[nodiscard]] h2o_loop_t* raw() { return loop_; }

 private:
  struct Timer;
  struct PostedAction;
  void drop_finished_timers();
  static void run_posted_actions(h2o_multithread_receiver_t* receiver, h2o_linklist_t* messages);

  h2o_loop_t* loop_;
  h2o_multithread_queue_t* queue_;
  h2o_multithread_receiver_t receiver_{};
  std::atomic<bool> stopping_{false};
  /// Freed after the timers.
  std::vector<std::shared_ptr<void>> retained_;
  std::vector<std::unique_ptr<Timer>> timers_;
};

}  // namespace gorsevalve
