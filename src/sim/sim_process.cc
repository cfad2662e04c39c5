#include "sim/sim_process.h"

#include <utility>

namespace gorsevalve {
namespace {

/// Messages that the sockets of a frozen process keep.
constexpr std::size_t kBacklog = 512;

}  // namespace

void SimProcess::receive(const SimMessage& message) {
  if (!up_) {
    return;
  }
  if (!is_frozen()) {
    handle(message);
  } else if (backlog_.size() < kBacklog) {
    backlog_.push_back(message);
  }
}

void SimProcess::freeze(Duration time) {
  frozen_until_ = now() + time;
  const std::uint64_t life = life_;
  context_.events.at(frozen_until_, [this, life] {
    if (life == life_ && !is_frozen()) {
      wake();
    }
  });
}

void SimProcess::wake() {
  for (const auto& message : std::exchange(backlog_, {})) {
    if (up_) {
      handle(message);
    }
  }
}

void SimProcess::come_up() {
  up_ = true;
  ++life_;
  frozen_until_ = Instant{};
  backlog_.clear();
}

void SimProcess::go_down() {
  up_ = false;
  ++life_;
  backlog_.clear();
}

void SimProcess::run_every(Duration interval, std::function<void()> action) {
  const std::uint64_t life = life_;
  context_.events.every(interval, [this, life, action = std::move(action)] {
    if (life != life_) {
      return false;
    }
    if (!is_frozen()) {
      action();
    }
    return life == life_;
  });
}

}  // namespace gorsevalve
