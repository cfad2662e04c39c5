/// One request as seen by the filters of the filter chain.
#pragma once

#include "core/balancer/balancer_state.h"

namespace gorsevalve {

struct RequestContext {
  RequestContext(Partition& its_partition, const ServiceView& its_service, const FlowKey& its_flow,
                 ByteView its_message, Instant time)
      : partition(its_partition),
        service(its_service),
        flow(its_flow),
        message(its_message),
        now(time) {}

  Partition& partition;
  const ServiceView& service;
  FlowKey flow;
  /// The request as received from the client.
  ByteView message;
  Instant now;
  CoapToken token;
  std::uint16_t message_id = 0;
  CoapType type = CoapType::kConfirmable;
  RequestKind kind = RequestKind::kIdempotent;
  bool continuation = false;
  std::optional<std::uint32_t> observe;
  /// Selected target; empty when there is none.
  std::optional<Endpoint> target;
  /// The record of the request; nullptr until it is created.
  RequestRecord* record = nullptr;
};

/// Decision of a filter.
enum class FilterStatus : std::uint8_t {
  /// Pass the request to the next filter.
  kContinue,
  /// The request has been responded to, dropped, or queued; the chain ends here.
  kStop,
};

/// One step of request processing. Filters keep no state between requests.
class RequestFilter {
 public:
  virtual ~RequestFilter() = default;
  virtual FilterStatus on_request(RequestContext& context) = 0;
};

}  // namespace gorsevalve
