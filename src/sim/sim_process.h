/// What all simulated processes share: being up, down or frozen, and the things around them.
#pragma once

#include <deque>
#include <functional>

#include "sim/event_queue.h"
#include "sim/invariant_checker.h"
#include "sim/sim_network.h"
#include "sim/sim_random.h"
#include "sim/trace.h"

namespace gorsevalve {

/// What a simulated process works with. All members outlive it.
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

  /// A message arrives. A process that is down loses it; a frozen one finds it when it wakes.
  void receive(const SimMessage& message);

  /// Stops the process in the middle, as SIGSTOP does. It wakes with all that waits for it, and
  /// handles that before its own timers.
  void pause(Duration time);

 protected:
  virtual void handle(const SimMessage& message) = 0;

  /// Begins a life of the process; timers of earlier lives end.
  void begin_incarnation();
  void end_incarnation();
  /// Runs an action at an interval as long as this life of the process lasts.
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
