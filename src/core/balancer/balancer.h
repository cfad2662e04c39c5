/// The balancer core: a state machine without sockets, clocks or threads. Every input carries the
/// time; every effect goes to BalancerOutput. The same code runs in the program and in the
/// simulator.
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

  /// A datagram with a PROXY header: from the fabric, from a target, or relayed by a peer.
  void on_datagram(ByteView datagram, Instant now);

  void on_peer_message(const Endpoint& from, const PeerMessage& message, Instant now);

  /// A revision of the fleet state. One that is not newer than the present is ignored.
  void on_fleet(FleetState fleet, Instant now);

  /// This process may run once-only requests until then.
  void on_lease(Instant until) { state_.set_lease_until(until); }

  void on_target_report(const TargetReport& report, Instant now);

  /// To be called every kTickInterval.
  void on_tick(Instant now);

  /// Revision in force here; 0 before the first.
  [[nodiscard]] Revision revision() const;
  /// Membership revision whose handovers are finished here; 0 before the first.
  [[nodiscard]] Revision settled_revision() const;
  /// True when all partitions have gone to other owners: a stopping process may end.
  [[nodiscard]] bool has_released_all(Instant now) const;

  [[nodiscard]] const BalancerCounters& counters() const { return counters_; }
  [[nodiscard]] const std::shared_ptr<const FleetView>& view() const { return state_.view(); }
  /// Flows and requests held, for metrics and capacity measurements.
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
  /// Last tick, and the end of the recovery after a pause.
  std::optional<Instant> last_tick_;
  Instant recovers_until_;
  PartitionId sweep_position_ = 0;
};

}  // namespace gorsevalve
