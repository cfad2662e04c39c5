#include "sim/sim_process.h"

#include <utility>

namespace gorsevalve {
namespace {

/// Number of messages that the socket buffers of a paused process hold.
constexpr std::size_t kMaxBacklog = 512;

}  // namespace

void SimProcess::receive(const SimMessage& message) {
  if (!up_) {
    return;
  }
  if (!is_paused()) {
    handle(message);
  } else if (backlog_.size() < kMaxBacklog) {
    backlog_.push_back(message);
  }
}

void SimProcess::pause(Duration time) {
  paused_until_ = now() + time;
  const std::uint64_t incarnation = incarnation_;
  context_.events.at(paused_until_, [this, incarnation] {
    if (incarnation == incarnation_ && !is_paused()) {
      resume();
    }
  });
}

void SimProcess::resume() {
  for (const auto& message : std::exchange(backlog_, {})) {
    if (up_) {
      handle(message);
    }
  }
}

void SimProcess::begin_incarnation() {
  up_ = true;
  ++incarnation_;
  paused_until_ = Instant{};
  backlog_.clear();
}

void SimProcess::end_incarnation() {
  up_ = false;
  ++incarnation_;
  backlog_.clear();
}

void SimProcess::run_every(Duration interval, std::function<void()> action) {
  const std::uint64_t incarnation = incarnation_;
  context_.events.every(interval, [this, incarnation, action = std::move(action)] {
    if (incarnation != incarnation_) {
      return false;
    }
    if (!is_paused()) {
      action();
    }
    return incarnation == incarnation_;
  });
}

}  // namespace gorsevalve
