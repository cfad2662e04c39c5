#include "sim/event_queue.h"

#include <algorithm>

namespace gorsevalve {

void EventQueue::at(Instant when, Action action) {
  events_.push({std::max(when, now_), next_sequence_++, std::move(action)});
}

void EventQueue::every(Duration interval, std::function<bool()> action) {
  repeat(now_, interval, std::make_shared<std::function<bool()>>(std::move(action)));
}

void EventQueue::repeat(Instant when, Duration interval, const Repeated& action) {
  at(when, [this, interval, action] {
    if ((*action)()) {
      repeat(now_ + interval, interval, action);
    }
  });
}

void EventQueue::run_until(Instant end) {
  while (!events_.empty() && events_.top().when <= end) {
    // top() returns a const reference; moving is safe because the event is popped at once.
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.when;
    ++events_run_;
    event.action();
  }
  now_ = std::max(now_, end);
}

}  // namespace gorsevalve
