/// What a replica has sent to one balancer that follows the state, and how much of it the balancer
/// has confirmed. Tells whether an update is still under way or was lost and must go again.
#pragma once

#include <cstdint>

#include "model/fleet.h"
#include "model/time.h"

namespace gorsevalve {

class UpdateProgress {
 public:
  /// The balancer told what it has in force. Another incarnation begins anew.
  void on_heartbeat(std::uint64_t incarnation, Revision confirmed, Instant now);
  /// What leads up to this revision was sent after an earlier update.
  void on_pushed(Revision revision, Instant now);
  /// All that the balancer lacks up to this revision was sent, whatever was sent before.
  void on_repaired(Revision revision, Instant now);
  /// The balancer has this revision in force, so nothing is under way.
  void on_in_force(Revision revision);

  /// Latest revision that was sent; 0 for none.
  [[nodiscard]] Revision sent() const { return sent_; }
  /// True while updates up to `revision` were sent so lately that they may still arrive. Judged by
  /// the oldest update that is not confirmed: later ones are of no use without it.
  [[nodiscard]] bool is_under_way(Revision revision, Instant now) const;

 private:
  void await(Revision revision, Instant now);

  std::uint64_t incarnation_ = 0;
  Revision sent_ = 0;
  /// The earliest revision that was sent and is not confirmed, and when it was sent; 0 for none.
  Revision awaited_ = 0;
  Instant awaited_since_;
};

}  // namespace gorsevalve
