/// As of which moment a balancer knows its state to be the newest. Only the answer of a current
/// replica to the balancer's own question proves that, and only for the moment at which the
/// question was sent: what else a replica sends, and when it arrives, proves nothing.
#pragma once

#include <optional>

#include "model/fleet.h"
#include "model/time.h"

namespace gorsevalve {

class StateFreshness {
 public:
  /// A current replica answered a question that was sent at `sent_at`, and held this revision.
  void on_current_reply(Instant sent_at, Revision held);
  /// This revision is in force from now on.
  void on_applied(Revision revision);

  /// Latest moment as of which the state in force was the newest; nothing before the first one.
  [[nodiscard]] std::optional<Instant> confirmed_at() const { return confirmed_at_; }
  /// The revision that a current replica held and that is not in force here; 0 for none.
  [[nodiscard]] Revision pending() const { return pending_ ? pending_->revision : 0; }

 private:
  struct PendingReply {
    Instant sent_at;
    Revision revision = 0;
  };

  Revision applied_ = 0;
  std::optional<Instant> confirmed_at_;
  /// The earliest answer whose revision is not in force yet.
  std::optional<PendingReply> pending_;
};

}  // namespace gorsevalve
