/// Identifiers of flows and of requests within them.
#pragma once

#include <cstdint>
#include <utility>

#include "model/endpoint.h"

namespace gorsevalve {

/// Identifies a flow: all datagrams between one client endpoint and one service address.
struct FlowKey {
  Endpoint client;
  Endpoint service;

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& client& service;
  }
};

template <typename Hasher>
Hasher AbslHashValue(Hasher state, const FlowKey& flow) {  // NOLINT: name fixed by Abseil
  return Hasher::combine(std::move(state), packed(flow.client), packed(flow.service));
}

/// 64-bit hash of a flow (XXH3), identical in all processes and versions.
std::uint64_t flow_hash(const FlowKey& flow);

/// Second, independent hash of a flow, for its alternative slot of the service.
std::uint64_t flow_hash_alternative(const FlowKey& flow);

/// Identifies one dispatched request across the fleet. The owner writes it into the datagram to the
/// target (PROXY protocol unique ID), and the target echoes it in each response.
struct RequestId {
  /// Random number of the balancer process that created the ID.
  std::uint64_t incarnation = 0;
  /// Counter within that process, from 1; 0 means "no ID".
  std::uint64_t sequence = 0;

  friend auto operator<=>(const RequestId&, const RequestId&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& incarnation& sequence;
  }
};

template <typename Hasher>
Hasher AbslHashValue(Hasher state, const RequestId& id) {  // NOLINT: name fixed by Abseil
  return Hasher::combine(std::move(state), id.incarnation, id.sequence);
}

}  // namespace gorsevalve
