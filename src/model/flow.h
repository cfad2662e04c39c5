/// Identity of a flow and of one request inside it.
#pragma once

#include <cstdint>
#include <utility>

#include "model/endpoint.h"

namespace gorsevalve {

/// A flow: all datagrams between one caller endpoint and one service address.
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

/// 64-bit hash of a flow, the same in every process and version (XXH3).
std::uint64_t flow_hash(const FlowKey& flow);

/// Second, independent hash of a flow, for its alternative slot.
std::uint64_t flow_hash_alternative(const FlowKey& flow);

/// Identifies one dispatched request across the fleet. The owner writes it into the datagram to the
/// target (PROXY protocol unique id) and the target echoes it in each answer.
struct RequestId {
  /// Random number of the balancer process that created the id.
  std::uint64_t incarnation = 0;
  /// Counter within that process, from 1; 0 means "no id".
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
