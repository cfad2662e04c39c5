/// Moves partitions between owners when the members change: fetches state as the new owner, freezes
/// and gives it as the old one.
#pragma once

#include "core/balancer/balancer_state.h"
#include "core/balancer/flow_binding.h"
#include "core/balancer/replication.h"

namespace gorsevalve {

/// What handover tells the rest of the core.
class HandoverListener {
 public:
  virtual ~HandoverListener() = default;
  /// A request arrived with the state of a partition; the record is indexed already.
  virtual void on_request_imported(Partition& partition, RequestRecord& record, Instant now) = 0;
  /// This process decides for the partition from now on.
  virtual void on_acquired(Partition& partition, Instant now) = 0;
  /// A datagram that waited for the state.
  virtual void on_buffered_datagram(const ProxyHeader& header, ByteView payload, Instant now) = 0;
};

class Handover {
 public:
  Handover(BalancerState& state, FlowBinding& binding, Replicator& replicator,
           HandoverListener& listener)
      : state_(state), binding_(binding), replicator_(replicator), listener_(listener) {}

  /// Follows a change of the members. The state's view is the new one.
  void on_members(Instant now);

  void on_takeover_request(const Endpoint& from, const TakeoverRequest& request, Instant now);
  void on_takeover_chunk(const Endpoint& from, const TakeoverChunk& chunk, Instant now);
  void on_tick(Instant now);

  /// Keeps a datagram until the state of its partition has arrived.
  void buffer_datagram(Partition& partition, const ProxyHeader& header, ByteView payload);

  /// A newer owner has fenced this process off: it stops deciding, and fetches the state again when
  /// the members still give it the partition.
  void on_superseded(Partition& partition, Instant now);

  /// True when this process owns what the view gives it, with its backups complete, and holds
  /// nothing else.
  [[nodiscard]] bool is_settled() const;

  /// True when this process decides for no partition and no new owner asks for state any more.
  [[nodiscard]] bool has_released_all(Instant now) const;

 private:
  void follow_assignment(Partition& partition, Instant now);
  void start_acquisition(Partition& partition, Instant now);
  void abandon(Partition& partition);
  void abandon_unclaimed(Partition& partition, Instant now);
  void retry_superseded(Partition& partition, Instant now);
  void apply_chunk(Partition& partition, const TakeoverChunk& chunk, Instant now);
  /// Share of all partitions that this process decides for, also those it is about to hand over.
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
