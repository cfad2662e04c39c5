/// Handles messages from targets: matches them to requests, keeps notifications in order, retries
/// refused requests, and forwards responses to clients.
#pragma once

#include "core/balancer/request_actions.h"
#include "core/balancer/request_filters.h"

namespace gorsevalve {

/// A parsed message from a target.
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

  void on_response(Partition& partition, const TargetMessage& target_message, Instant now);

  /// Handles an empty message (acknowledgement or reset) from a client, sent in reply to a
  /// notification.
  void on_client_empty(Partition& partition, const FlowKey& flow, const CoapSummary& summary,
                       Instant now);

 private:
  void on_unmatched(Partition& partition, const TargetMessage& target_message, Instant now);
  void on_notification(Partition& partition, RequestRecord& record,
                       const TargetMessage& target_message, Instant now);
  void on_final_response(Partition& partition, RequestRecord& record,
                         const TargetMessage& target_message, Instant now);
  void close_observation(Partition& partition, RequestRecord& record);
  void open_observation(Partition& partition, RequestRecord& record, Instant now);
  bool retry_on_other_target(Partition& partition, RequestRecord& record, Instant now);
  /// Forwards a message to the client. A message that the target initiated gets a message id from
  /// this owner. Returns the message id that was sent.
  std::uint16_t forward(Partition& partition, const RequestRecord& record,
                        const TargetMessage& target_message, std::optional<std::uint32_t> observe);

  BalancerState& state_;
  RequestActions& actions_;
  FilterChain& chain_;
  std::array<std::uint8_t, kMaxCoapSize + 8> buffer_{};
};

}  // namespace gorsevalve
