/// Steps that several filters and the answer path share: making records, sending to targets, giving
/// up, and going on with requests that wait.
#pragma once

#include "core/balancer/flow_binding.h"
#include "core/balancer/replication.h"
#include "core/balancer/request_context.h"

namespace gorsevalve {

class RequestActions {
 public:
  RequestActions(BalancerState& state, FlowBinding& binding, Replicator& replicator)
      : state_(state), binding_(binding), replicator_(replicator) {}

  /// Makes the record of a request, unless it has one, and puts it into a state.
  RequestRecord& make_record(RequestContext& context, RequestState record_state);

  /// Sends a message of a request to its target. The only way to a target: one that the service
  /// does not have (any more) is never sent to, since its address may serve another one by now.
  /// Returns whether it was sent. An undecided request carries the time that is left for it.
  bool send_to_target(const RequestRecord& record, ByteView message, Instant now);

  /// Sends a request to its target for the first time and counts it. The backup need not hear of
  /// it: it has a once-only request as sent since its record, and a feed matters once it is open.
  void dispatch(RequestRecord& record, ByteView message, Instant now);

  /// Plans the next look at a dispatched request: the next send of a repeatable one, or the moment
  /// to give up.
  void plan_resend(Partition& partition, RequestRecord& record, Instant now);
  /// Sends a request that got no answer to its target once more.
  void resend(Partition& partition, RequestRecord& record, Instant now);

  /// Gives up on a request that has a record: answers the caller at once and remembers the verdict.
  void give_up(Partition& partition, RequestRecord& record, Execution execution,
               FailureReason reason, Instant now);

  /// Sends the verdict that was given before.
  void repeat_verdict(const RequestRecord& record);

  /// Moves a feed to another target: registers it there under a new id.
  void migrate_observation(Partition& partition, RequestRecord& record, const Endpoint& target,
                           Instant now);

  /// The request no longer counts against its target.
  void release_outstanding(const RequestRecord& record);

  /// Erases a record; the backup is told when it has a copy.
  void delete_record(Partition& partition, RequestRecord& record);

  /// Target for new work of a flow by its two slots and the loads; nothing when none takes work.
  /// `avoid` is not chosen.
  [[nodiscard]] const Target* select_target(const ServiceView& service, const FlowKey& flow,
                                            Instant now, std::optional<Endpoint> avoid);

  /// Time until a verdict's caller should come back, spread over the service's bounds.
  [[nodiscard]] std::chrono::seconds retry_after(const Service& service,
                                                 const RequestRecord& record) const;

  FlowBinding& binding() { return binding_; }
  Replicator& replicator() { return replicator_; }

 private:
  [[nodiscard]] bool takes_new_flow(const Target& target) const;
  [[nodiscard]] const Target* least_loaded(const ServiceView& service, Instant now,
                                           std::optional<Endpoint> avoid) const;

  BalancerState& state_;
  FlowBinding& binding_;
  Replicator& replicator_;
};

}  // namespace gorsevalve
