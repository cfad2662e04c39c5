/// What happens to messages from targets: matching to the request, feed order, retries, and what
/// the caller gets.
#pragma once

#include "core/balancer/request_actions.h"
#include "core/balancer/request_filters.h"

namespace gorsevalve {

/// A message from a target, parsed.
struct TargetMessage {
  const ProxyHeader& header;
  Endpoint target;
  ByteView message;
  const CoapSummary& summary;
};

class ResponseHandler {
 public:
  ResponseHandler(BalancerState& state, RequestActions& actions, FilterChain& chain)
      : state_(state), actions_(actions), chain_(chain) {}

  void on_response(Partition& partition, const TargetMessage& answer, Instant now);

  /// An empty message (acknowledgement or reset) from a caller, for a notification it got.
  void on_client_empty(Partition& partition, const FlowKey& flow, const CoapSummary& summary,
                       Instant now);

 private:
  void on_unmatched(Partition& partition, const TargetMessage& answer, Instant now);
  void on_notification(Partition& partition, RequestRecord& record, const TargetMessage& answer,
                       Instant now);
  void on_final_response(Partition& partition, RequestRecord& record, const TargetMessage& answer,
                         Instant now);
  void close_observation(Partition& partition, RequestRecord& record);
  void open_observation(Partition& partition, RequestRecord& record, Instant now);
  bool retry_on_other_target(Partition& partition, RequestRecord& record, Instant now);
  /// Forwards a message; one that the target originated gets a message id of the owner's.
  std::uint16_t forward(Partition& partition, const RequestRecord& record,
                        const TargetMessage& answer, std::optional<std::uint32_t> observe);

  BalancerState& state_;
  RequestActions& actions_;
  FilterChain& chain_;
  std::array<std::uint8_t, kMaxCoapSize + 8> buffer_{};
};

}  // namespace gorsevalve
