/// Moves partitions between owners when the members change: requests the state as the new owner,
/// transfers it as the previous one.
#pragma once

#include "core/balancer/balancer_state.h"
#include "core/balancer/flow_binding.h"
#include "core/balancer/replication.h"

namespace gorsevalve {

/// Events of the handover, for the rest of the balancer core.
class HandoverListener {
 public:
  virtual ~HandoverListener() = default;
  /// A request arrived with the state of a partition; its record is already indexed.
  virtual void on_request_imported(Partition& partition, RequestRecord& record, Instant now) = 0;
  /// This process serves the partition from now on.
  virtual void on_acquired(Partition& partition, Instant now) = 0;
  /// A datagram that was buffered until the state arrived.
  virtual void on_buffered_datagram(const ProxyHeader& header, ByteView payload, Instant now) = 0;
};

class Handover {
 public:
  Handover(BalancerState& state, FlowBinding& binding, Replicator& replicator,
           HandoverListener& listener)
      : state_(state), binding_(binding), replicator_(replicator), listener_(listener) {}

  /// Handles a change of the members. The state already has the new view.
  void on_members(Instant now);

  void on_takeover_request(const Endpoint& from, const TakeoverRequest& request, Instant now);
  void on_takeover_chunk(const Endpoint& from, const TakeoverChunk& chunk, Instant now);
  void on_tick(Instant now);

  /// Buffers a datagram until the state of its partition has arrived.
  void buffer_datagram(Partition& partition, const ProxyHeader& header, ByteView payload);

  /// A newer owner has fenced off this process. It stops serving the partition, and requests the
  /// state again if the members still assign the partition to it.
  void on_superseded(Partition& partition, Instant now);

  /// True when this process serves exactly the partitions that the view assigns to it, and all
  /// their backups are complete.
  [[nodiscard]] bool is_settled() const;

  /// True when this process serves no partition and no new owner has recently requested state.
  [[nodiscard]] bool has_released_all(Instant now) const;

 private:
  void follow_assignment(Partition& partition, Instant now);
  void start_acquisition(Partition& partition, Instant now);
  void abandon(Partition& partition);
  void abandon_unclaimed(Partition& partition, Instant now);
  void retry_superseded(Partition& partition, Instant now);
  void apply_chunk(Partition& partition, const TakeoverChunk& chunk, Instant now);
  /// Fraction of all partitions that this process serves, including those it is about to hand over.
  [[nodiscard]] double served_share() const;
  [[nodiscard]] bool is_own(const Member* member) const;
  [[nodiscard]] bool waits_for_lease(const Acquisition& acquisition, Instant now) const;
  [[nodiscard]] std::vector<TakeoverSource> find_sources(PartitionId partition) const;
  [[nodiscard]] bool take_own_copy(Partition& partition, Instant now);
  void request_chunk(Partition& partition, Instant now);
  void next_source(Partition& partition, Instant now);
  void import(Partition& partition, const StateBatch& batch, Instant now);
  void finish(Partition& partition, bool complete, Instant now);
  void set_backup(Partition& partition, Revision revision);
  void cancel_if_source_keeps(Partition& partition);
  [[nodiscard]] bool is_stale(const Partition& partition, const TakeoverRequest& request) const;
  void prepare_outgoing(Partition& partition, const TakeoverRequest& request, const Endpoint& to);
  void freeze(Partition& partition);
  static void offer_copy(Partition& partition, std::uint64_t last_owner);

  BalancerState& state_;
  FlowBinding& binding_;
  Replicator& replicator_;
  HandoverListener& listener_;
};

}  // namespace gorsevalve
