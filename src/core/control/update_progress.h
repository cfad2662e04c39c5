/// What a replica has sent to one balancer that follows the state, and how much of it the balancer
/// has confirmed. Tells whether an update is still under way or was lost and must go again. The
/// balancer's own word decides: what was sent in an earlier session, or was handed to no
/// connection, counts as never sent. A replica that trusted its own sends kept a balancer behind
/// for 8.1 s (real processes, 4.6 changes a second, a replica killed for 2.8 s).
#pragma once

#include <cstdint>

#include "core/control/node_messages.h"
#include "model/fleet.h"
#include "model/time.h"

namespace gorsevalve {

class UpdateProgress {
 public:
  /// The balancer told what it has in force. Another incarnation or session begins anew; one that
  /// is older than the latest, by its sequence, is ignored.
  void on_heartbeat(const NodeHeartbeat& heartbeat, Instant now);
  /// True when this heartbeat was sent before the latest one of the same process: it came by
  /// another connection.
  [[nodiscard]] bool is_out_of_order(const NodeHeartbeat& heartbeat) const;
  /// What leads up to this revision was sent after an earlier update.
  void on_pushed(Revision revision, Instant now);
  /// All that the balancer lacks up to this revision was sent, whatever was sent before.
  void on_catch_up_sent(Revision revision, Instant now);
  /// The balancer has this revision in force, and lacks nothing that is held here: nothing is under
  /// way. It may be ahead.
  void on_applied(Revision revision);

  /// Latest revision that was sent; 0 for none.
  [[nodiscard]] Revision sent_revision() const { return sent_revision_; }
  /// True while updates up to `revision` were sent so lately that they may still arrive. Judged by
  /// the oldest update that is not confirmed: later ones are of no use without it.
  [[nodiscard]] bool is_in_flight(Revision revision, Instant now) const;

 private:
  void start_ack_timer(Revision revision, Instant now);

  std::uint64_t incarnation_ = 0;
  std::uint32_t session_ = 0;
  /// Sequence of the latest heartbeat.
  std::uint64_t sequence_ = 0;
  Revision sent_revision_ = 0;
  /// The earliest revision that was sent and is not confirmed, and when it was sent; 0 for none.
  Revision unacked_revision_ = 0;
  Instant unacked_since_;
};

}  // namespace gorsevalve
