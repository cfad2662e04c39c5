/// The balancer core: a deterministic state machine that does no I/O, reads no clock and starts no
/// threads. Every input carries the time; every effect goes to BalancerOutput. The balancer program
/// and the simulator run the same code.
#pragma once

#include "core/balancer/balancer_state.h"
#include "core/balancer/flow_binding.h"
#include "core/balancer/handover.h"
#include "core/balancer/observation_migrator.h"
#include "core/balancer/replication.h"
#include "core/balancer/request_actions.h"
#include "core/balancer/request_filters.h"
#include "core/balancer/response_handler.h"

namespace gorsevalve {

class Balancer : private ReplicationListener, private HandoverListener {
 public:
  /// `output` must outlive the balancer and must not call back into it.
  Balancer(BalancerConfig config, BalancerOutput& output);

  /// Handles a datagram with a PROXY header, received from the fabric, from a target, or relayed by
  /// a peer.
  void on_datagram(ByteView datagram, Instant now);

  void on_peer_message(const Endpoint& from, const PeerMessage& message, Instant now);

  /// Applies a revision of the fleet state. A revision that is not newer than the current one is
  /// ignored.
  void on_fleet(FleetState fleet, Instant now);

  /// Sets the end of this process's lease. Non-idempotent requests are dispatched only under a
  /// lease.
  void on_lease(Instant until) { state_.set_lease_until(until); }

  void on_target_report(const TargetReport& report, Instant now);

  /// Must be called every kTickInterval.
  void on_tick(Instant now);

  /// The applied fleet revision; 0 before the first.
  [[nodiscard]] Revision revision() const;
  /// Membership revision for which all handovers are complete; 0 before the first.
  [[nodiscard]] Revision settled_revision() const;
  /// True when all partitions have moved to other owners, so that a stopping process may exit.
  [[nodiscard]] bool has_released_all(Instant now) const;

  [[nodiscard]] const BalancerCounters& counters() const { return counters_; }
  [[nodiscard]] const std::shared_ptr<const FleetView>& view() const { return state_.view(); }
  /// Number of flows and requests stored, for metrics and capacity measurements.
  [[nodiscard]] std::size_t flow_count() const;
  [[nodiscard]] std::size_t request_count() const;
  [[nodiscard]] const TargetTable& target_table() const { return target_table_; }

  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

 private:
  [[nodiscard]] bool was_paused(Instant now) const;
  void route(const ProxyHeader& header, ByteView payload, Instant now);
  void relay(Partition& partition, const ProxyHeader& header, ByteView payload);
  void on_owned(Partition& partition, const ProxyHeader& header, ByteView payload, Instant now);
  void on_client_message(Partition& partition, const FlowKey& flow, ByteView message,
                         const CoapSummary& summary, Instant now);
  void on_expired(Partition& partition, RequestRecord& record, Instant now);
  void expire(Instant now);

  void on_recorded(Partition& partition, const RequestId& id, Instant now) override;
  void on_superseded(Partition& partition, Instant now) override;
  void on_request_imported(Partition& partition, RequestRecord& record, Instant now) override;
  void on_acquired(Partition& partition, Instant now) override;
  void on_buffered_datagram(const ProxyHeader& header, ByteView payload, Instant now) override;

  BalancerState state_;
  BalancerCounters& counters_;
  TargetTable& target_table_;
  FlowBinding binding_;
  Replicator replicator_;
  BackupStore backups_;
  Handover handover_;
  RequestActions actions_;
  ObservationMigrator observation_migrator_;
  FilterChain chain_;
  ResponseHandler response_handler_;
  CoapParser parser_;
  Instant next_sweep_;
  /// Time of the last tick, and the end of the recovery period after a process pause.
  std::optional<Instant> last_tick_;
  Instant recovers_until_;
  PartitionId sweep_position_ = 0;
};

}  // namespace gorsevalve
