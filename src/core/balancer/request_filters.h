/// The filters of the request filter chain, in processing order. Each filter makes one decision.
#pragma once

#include <array>
#include <memory>

#include "core/balancer/request_actions.h"
#include "core/balancer/request_context.h"

namespace gorsevalve {

/// Detects retransmitted requests: resends the response, forwards them again, or drops them.
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

/// Forwards a renewed or cancelled registration to the target of its open observation.
class ObserveFilter : public RequestFilter {
 public:
  ObserveFilter(BalancerState& state, RequestActions& actions) : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  BalancerState& state_;
  RequestActions& actions_;
};

/// Rejects non-idempotent requests when another owner may exist or records may be missing.
class LeaseFilter : public RequestFilter {
 public:
  LeaseFilter(BalancerState& state, RequestActions& actions) : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  BalancerState& state_;
  RequestActions& actions_;
};

/// Selects the target: the one that the flow is bound to, or a new one.
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

/// Records non-idempotent requests at the backup before they are queued or sent, so that the next
/// owner knows of them whatever their outcome is.
class RecordFilter : public RequestFilter {
 public:
  RecordFilter(BalancerState& state, RequestActions& actions) : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  BalancerState& state_;
  RequestActions& actions_;
};

/// Admits a request to its target, queues it, or rejects it when the queue is full.
class AdmissionFilter : public RequestFilter {
 public:
  AdmissionFilter(BalancerState& state, RequestActions& actions)
      : state_(state), actions_(actions) {}
  FilterStatus on_request(RequestContext& context) override;

 private:
  /// Makes room in a full queue by rejecting a request of a lower priority. Returns false when
  /// there is none.
  bool evict_lower_priority(TargetState& target, QueuePriority priority, Instant now);
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

/// Filter at which a request enters the chain. Values are indexes into the chain.
enum class ChainEntry : std::uint8_t {
  kArrival = 0,
  /// Resumed after the state of its partition was taken over.
  kRecord = 4,
  /// Resumed after the backup acknowledged its record.
  kAdmission = 5,
  /// Resumed after its target got free capacity.
  kDispatch = 6,
};

class FilterChain {
 public:
  FilterChain(BalancerState& state, RequestActions& actions);

  void run(RequestContext& context, ChainEntry entry);

  /// Resumes a queued request that has a record.
  void resume(Partition& partition, RequestRecord& record, ChainEntry entry, Instant now);

  /// Dispatches queued requests of a target until its capacity is used up.
  void drain_queue(const Endpoint& target, Instant now);

 private:
  BalancerState& state_;
  std::array<std::unique_ptr<RequestFilter>, 7> filters_;
};

/// Priority of a request in its target's queue.
QueuePriority queue_priority(RequestKind kind);

/// Classifies a request by its method, its options and the path rules of the service. Methods: RFC
/// 7252 section 5.1 and RFC 8132 section 1.1.
RequestKind classify(const CoapSummary& summary, const ServiceView& service);

}  // namespace gorsevalve
