/// Operations shared by the request filters and the response handler: creating records, sending to
/// targets, giving up, and resuming queued requests.
#pragma once

#include "core/balancer/flow_binding.h"
#include "core/balancer/replication.h"
#include "core/balancer/request_context.h"

namespace gorsevalve {

class RequestActions {
 public:
  RequestActions(BalancerState& state, FlowBinding& binding, Replicator& replicator)
      : state_(state), binding_(binding), replicator_(replicator) {}

  /// Creates the record of a request unless it exists, and sets its state.
  RequestRecord& make_record(RequestContext& context, RequestState record_state);

  /// Sends a message of a request to its target. All messages to targets go through this function.
  /// Returns false without sending when the service does not have the target, since another service
  /// may use the address by now. The header of a request without a response carries the time left
  /// until its deadline.
  bool send_to_target(const RequestRecord& record, ByteView message, Instant now);

  /// Sends a request to its target for the first time and counts it. The backup needs no update: it
  /// already treats a recorded non-idempotent request as sent, and an observation is replicated
  /// once it is open.
  void dispatch(RequestRecord& record, ByteView message, Instant now);

  /// Sets the next deadline of a dispatched request: the next resend of an idempotent request, or
  /// the time to give up.
  void plan_resend(Partition& partition, RequestRecord& record, Instant now);
  /// Resends a request that got no response to the same target, if the retry budget allows it.
  void resend(Partition& partition, RequestRecord& record, Instant now);

  /// Gives up on a request that has a record: sends the verdict to the client and stores it in the
  /// record.
  void give_up(Partition& partition, RequestRecord& record, Execution execution,
               FailureReason reason, Instant now);

  /// Sends the stored verdict of a request again.
  void resend_verdict(const RequestRecord& record);

  /// Moves an observation to another target: registers it there under a new request id.
  void migrate_observation(Partition& partition, RequestRecord& record, const Endpoint& target,
                           Instant now);

  /// Stops counting the request as outstanding at its target.
  void release_outstanding(const RequestRecord& record);

  /// Deletes a record, and its copy at the backup if there is one.
  void delete_record(Partition& partition, RequestRecord& record);

  /// Selects a target for new work of a flow, from the targets of its two slots and their load.
  /// Returns nullptr when no target accepts new work. `avoid` is never selected.
  [[nodiscard]] const Target* select_target(const ServiceView& service, const FlowKey& flow,
                                            Instant now, std::optional<Endpoint> avoid);

  /// Time after which the client should retry, spread by a hash over the bounds that the service
  /// sets.
  [[nodiscard]] std::chrono::seconds retry_after(const Service& service,
                                                 const RequestRecord& record) const;

  FlowBinding& binding() { return binding_; }
  Replicator& replicator() { return replicator_; }

 private:
  [[nodiscard]] bool accepts_new_flow(const Target& target) const;
  [[nodiscard]] const Target* least_loaded(const ServiceView& service, Instant now,
                                           std::optional<Endpoint> avoid) const;

  BalancerState& state_;
  FlowBinding& binding_;
  Replicator& replicator_;
};

}  // namespace gorsevalve
