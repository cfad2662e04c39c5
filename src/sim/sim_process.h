/// Base class of simulated processes: whether they are up, down or paused, and their environment.
#pragma once

#include <deque>
#include <functional>

#include "sim/event_queue.h"
#include "sim/invariant_checker.h"
#include "sim/sim_network.h"
#include "sim/sim_random.h"
#include "sim/trace.h"

namespace gorsevalve {

/// Environment of a simulated process. All members outlive the process.
struct SimContext {
  EventQueue& events;
  SimRandom& random;
  Trace& trace;
  SimNetwork& network;
  InvariantChecker& checker;
};

class SimProcess {
 public:
  explicit SimProcess(SimContext context) : context_(context) {}
  virtual ~SimProcess() = default;
  SimProcess(const SimProcess&) = delete;
  SimProcess& operator=(const SimProcess&) = delete;

  [[nodiscard]] bool is_up() const { return up_; }
  [[nodiscard]] bool is_paused() const { return now() < paused_until_; }

  /// Delivers a message: dropped when the process is down, queued while it is paused.
  void receive(const SimMessage& message);

  /// Pauses the process as SIGSTOP does. After `time`, it handles the queued messages before its
  /// timers.
  void pause(Duration time);

 protected:
  virtual void handle(const SimMessage& message) = 0;

  /// Begins a new incarnation; ends the timers of the previous one.
  void begin_incarnation();
  void end_incarnation();
  /// Runs `action` once per interval until this incarnation ends.
  void run_every(Duration interval, std::function<void()> action);

  [[nodiscard]] Instant now() const { return context_.events.now(); }
  SimContext& context() { return context_; }

 private:
  void resume();

  SimContext context_;
  bool up_ = false;
  std::uint64_t incarnation_ = 0;
  Instant paused_until_;
  std::deque<SimMessage> backlog_;
};

}  // namespace gorsevalve
