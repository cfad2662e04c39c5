/// The virtual clock of a simulated run and the events that wait on it. Events at the same instant
/// run in the order in which they were added, so a run has one order.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "model/time.h"

namespace gorsevalve {

class EventQueue {
 public:
  using Action = std::function<void()>;

  /// A run starts here, not at 0, since instants of 0 mean "never" in places.
  static constexpr Instant kStart{std::chrono::seconds(1000)};

  [[nodiscard]] Instant now() const { return now_; }
  void at(Instant when, Action action);
  void after(Duration delay, Action action) { at(now_ + delay, std::move(action)); }
  /// Runs `action` now and then once per interval until it returns false.
  void every(Duration interval, std::function<bool()> action);

  /// Runs all events up to and including an instant.
  void run_until(Instant end);
  /// Events run so far.
  [[nodiscard]] std::uint64_t events_run() const { return events_run_; }

 private:
  struct Event {
    Instant when;
    std::uint64_t sequence = 0;
    Action action;
    friend bool operator>(const Event& a, const Event& b) {
      return a.when != b.when ? a.when > b.when : a.sequence > b.sequence;
    }
  };

  using Repeated = std::shared_ptr<std::function<bool()>>;
  void repeat(Instant when, Duration interval, const Repeated& action);

  Instant now_ = kStart;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t events_run_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace gorsevalve
