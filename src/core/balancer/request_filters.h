/// The filters of the request chain, in their order. Each makes one decision.
#pragma once

#include <array>
#include <memory>

#include "core/balancer/request_actions.h"
#include "core/balancer/request_context.h"

namespace gorsevalve {

/// Recognises a request that arrived before and answers or absorbs it.
class DuplicateFilter : public RequestFilter {
 public:
  DuplicateFilter(BalancerState& state, RequestActions& actions)
      : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  void respond_to_duplicate(RequestContext& context, RequestRecord& record);
  BalancerState& state_;
  RequestActions& actions_;
};

/// Passes a renewed or cancelled registration to the target of its open feed.
class ObserveFilter : public RequestFilter {
 public:
  ObserveFilter(BalancerState& state, RequestActions& actions) : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  BalancerState& state_;
  RequestActions& actions_;
};

/// Refuses once-only requests when another owner may exist or records may be missing.
class LeaseFilter : public RequestFilter {
 public:
  LeaseFilter(BalancerState& state, RequestActions& actions) : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  BalancerState& state_;
  RequestActions& actions_;
};

/// Finds the target: the one the flow is bound to, or a new one.
class PlacementFilter : public RequestFilter {
 public:
  PlacementFilter(BalancerState& state, RequestActions& actions)
      : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  [[nodiscard]] bool keeps_target(const RequestContext& context, const FlowRecord& flow) const;
  BalancerState& state_;
  RequestActions& actions_;
};

/// Has once-only requests recorded at the backup before anything else happens to them. Whatever is
/// decided later, also "not run", is then known to the next owner.
class RecordFilter : public RequestFilter {
 public:
  RecordFilter(BalancerState& state, RequestActions& actions) : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  BalancerState& state_;
  RequestActions& actions_;
};

/// Lets a request go to its target, queues it, or refuses it when the queue is full.
class AdmissionFilter : public RequestFilter {
 public:
  AdmissionFilter(BalancerState& state, RequestActions& actions)
      : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  /// Frees a place in a full queue by refusing a request of a lower class; false when there is
  /// none.
  bool evict_lower_priority(TargetState& target, QueuePriority wait_class, Instant now);
  BalancerState& state_;
  RequestActions& actions_;
};

/// Sends the request to its target.
class DispatchFilter : public RequestFilter {
 public:
  DispatchFilter(BalancerState& state, RequestActions& actions)
      : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  BalancerState& state_;
  RequestActions& actions_;
};

/// Where a request enters the chain.
enum class ChainEntry : std::uint8_t {
  kArrival = 0,
  /// Again, after the state of its partition moved here.
  kRecord = 4,
  /// After the backup confirmed its record.
  kAdmission = 5,
  /// After a place at its target became free.
  kDispatch = 6,
};

class FilterChain {
 public:
  FilterChain(BalancerState& state, RequestActions& actions);

  void run(RequestContext& context, ChainEntry entry);

  /// Runs a request that has a record and waits.
  void resume(Partition& partition, RequestRecord& record, ChainEntry entry, Instant now);

  /// Sends as many waiting requests of a target as it has room for.
  void drain_queue(const Endpoint& target, Instant now);

 private:
  BalancerState& state_;
  std::array<std::unique_ptr<RequestFilter>, 7> filters_;
};

/// Class of a request in its target's queue.
QueuePriority queue_priority(RequestKind kind);

/// How a request may be treated, from its method, its options and the service's path rules.
/// Methods: RFC 7252 section 5.1 and RFC 8132 section 1.1.
RequestKind classify(const CoapSummary& summary, const ServiceView& service);

}  // namespace gorsevalve
