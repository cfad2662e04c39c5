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
  [[nodiscard]] std::uint64_t count() const { return count_; }

 private:
  struct Event {
    Instant when;
    std::uint64_t number = 0;
    Action action;
    friend bool operator>(const Event& a, const Event& b) {
      return a.when != b.when ? a.when > b.when : a.number > b.number;
    }
  };

  using Repeated = std::shared_ptr<std::function<bool()>>;
  void repeat(Instant when, Duration interval, const Repeated& action);

  Instant now_ = kStart;
  std::uint64_t next_number_ = 0;
  std::uint64_t count_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace gorsevalve
