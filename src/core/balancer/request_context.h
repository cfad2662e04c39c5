/// What the filters of the request chain see of one request.
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
  /// The request as the caller sent it.
  ByteView message;
  Instant now;
  CoapToken token;
  std::uint16_t message_id = 0;
  CoapType type = CoapType::kConfirmable;
  RequestKind kind = RequestKind::kRepeatable;
  bool continuation = false;
  std::optional<std::uint32_t> observe;
  /// Chosen target; nothing when there is none.
  std::optional<Endpoint> target;
  /// The record, once there is one.
  RequestRecord* record = nullptr;
};

/// What a filter decided.
enum class FilterStatus : std::uint8_t {
  /// Pass the request to the next filter.
  kContinue,
  /// The request is answered, absorbed, or waits; the chain ends here.
  kStop,
};

/// One decision about a request. Filters keep no state of their own between requests.
class RequestFilter {
 public:
  virtual ~RequestFilter() = default;
  virtual FilterStatus on_request(RequestContext& context) = 0;
};

}  // namespace gorsevalve
