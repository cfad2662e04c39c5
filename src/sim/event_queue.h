/// Virtual clock and event queue of a simulated run. Events at the same instant run in insertion
/// order, which makes a run deterministic.
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

  /// Start of every run; not 0, because some fields use instant 0 for "never".
  static constexpr Instant kStart{std::chrono::seconds(1000)};

  [[nodiscard]] Instant now() const { return now_; }
  void at(Instant when, Action action);
  void after(Duration delay, Action action) { at(now_ + delay, std::move(action)); }
  /// Runs `action` now and then once per interval until it returns false.
  void every(Duration interval, std::function<bool()> action);

  /// Runs all events up to and including `end`.
  void run_until(Instant end);
  /// Number of events run so far.
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
