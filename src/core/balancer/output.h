/// Messages that the balancer core sends. The balancer program implements the interface with
/// sockets, the simulator with its network.
#pragma once

#include "codec/proxy_header.h"
#include "core/balancer/peer_messages.h"
#include "model/bytes.h"
#include "model/flow.h"

namespace gorsevalve {

/// Sends without blocking and without reporting delivery. The views passed in are valid only during
/// the call.
class BalancerOutput {
 public:
  virtual ~BalancerOutput() = default;

  /// Sends a CoAP message to the client of a flow, from the service address of the flow.
  virtual void send_to_client(const FlowKey& flow, ByteView message) = 0;

  /// Sends a CoAP message of a flow to a target. The target echoes the header's request id.
  virtual void send_to_target(const Endpoint& target, const ProxyHeader& header,
                              ByteView message) = 0;

  /// Relays a datagram to another balancer, with the given header.
  virtual void relay(const Endpoint& peer, const ProxyHeader& header, ByteView payload) = 0;

  /// Sends a message to another balancer.
  virtual void send_peer(const Endpoint& peer, const PeerMessage& message) = 0;
};

}  // namespace gorsevalve
