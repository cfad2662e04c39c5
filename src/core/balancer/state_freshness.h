/// Tracks the latest time at which the applied state was known to be the newest. Only a current
/// replica's reply to a heartbeat of this balancer proves that, and only for the time at which the
/// heartbeat was sent. Other messages and arrival times prove nothing.
#pragma once

#include <optional>

#include "model/fleet.h"
#include "model/time.h"

namespace gorsevalve {

class StateFreshness {
 public:
  /// A current replica that holds this revision replied to a heartbeat that was sent at `sent_at`.
  void on_current_reply(Instant sent_at, Revision held_revision);
  /// This revision is applied.
  void on_applied(Revision revision);

  /// Latest time at which the applied state was known to be the newest; empty before the first
  /// confirmation.
  [[nodiscard]] std::optional<Instant> confirmed_at() const { return confirmed_at_; }
  /// Revision that a current replica reported and that is not applied here yet; 0 for none.
  [[nodiscard]] Revision pending() const { return pending_ ? pending_->revision : 0; }

 private:
  struct PendingReply {
    Instant sent_at;
    Revision revision = 0;
  };

  Revision applied_ = 0;
  std::optional<Instant> confirmed_at_;
  /// The earliest reply whose revision is not applied yet.
  std::optional<PendingReply> pending_;
};

}  // namespace gorsevalve
