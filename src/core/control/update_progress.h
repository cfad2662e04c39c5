/// Tracks the updates that a replica sent to one subscribed balancer, to distinguish an update in
/// flight from a lost one that must be resent. Only the balancer's heartbeats confirm delivery:
/// updates of an earlier session, or without a connection, count as never sent. A replica that
/// trusts its own sends can keep a balancer behind for seconds while changes continue.
#pragma once

#include <cstdint>

#include "core/control/node_messages.h"
#include "model/fleet.h"
#include "model/time.h"

namespace gorsevalve {

class UpdateProgress {
 public:
  /// Records the revision that the balancer has applied. A new incarnation or session resets the
  /// progress. Heartbeats with an older sequence number than the latest are ignored.
  void on_heartbeat(const NodeHeartbeat& heartbeat, Instant now);
  /// True when this heartbeat is older than the latest one of the same process. Heartbeats over
  /// different connections can arrive out of order.
  [[nodiscard]] bool is_out_of_order(const NodeHeartbeat& heartbeat) const;
  /// An update to this revision, based on the previously sent one, was sent.
  void on_pushed(Revision revision, Instant now);
  /// An update from the balancer's own revision to this one was sent, regardless of earlier
  /// updates.
  void on_catch_up_sent(Revision revision, Instant now);
  /// The balancer has applied this revision and needs no update. Its revision may be newer than the
  /// replica's.
  void on_applied(Revision revision);

  /// Latest revision that was sent. 0 for none.
  [[nodiscard]] Revision sent_revision() const { return sent_revision_; }
  /// True while updates up to `revision` may still arrive. Measured from the oldest unacknowledged
  /// update, since later ones depend on it.
  [[nodiscard]] bool is_in_flight(Revision revision, Instant now) const;

 private:
  void start_ack_timer(Revision revision, Instant now);

  std::uint64_t incarnation_ = 0;
  std::uint32_t session_ = 0;
  /// Sequence number of the latest heartbeat.
  std::uint64_t sequence_ = 0;
  Revision sent_revision_ = 0;
  /// Earliest revision that was sent and is not acknowledged, and its send time. 0 for none.
  Revision unacked_revision_ = 0;
  Instant unacked_since_;
};

}  // namespace gorsevalve
