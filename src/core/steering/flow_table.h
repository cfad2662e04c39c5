/// Table of recent flows, for load statistics and for sending retransmitted opening packets to the
/// same target. Open flows do not depend on their entries.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>

#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

/// Client and frontend addresses of a flow.
struct SteeredFlow {
  Endpoint client;
  Endpoint frontend;

  friend bool operator==(const SteeredFlow&, const SteeredFlow&) = default;

  template <typename Hasher>
  friend Hasher AbslHashValue(Hasher state, const SteeredFlow& flow) {  // NOLINT: Abseil's name
    return Hasher::combine(std::move(state), flow.client, flow.frontend);
  }
};

enum class FlowPhase : std::uint8_t { kOpening = 0, kOpen = 1, kClosing = 2 };

struct FlowEntry {
  TargetId target = 0;
  FlowPhase phase = FlowPhase::kOpening;
  /// The client retransmitted its opening packet.
  bool is_retransmitted = false;
  Instant last_seen;
  /// The client's last acknowledgement number.
  std::uint32_t acknowledged = 0;
  /// When the request in flight began; nullopt between requests.
  std::optional<Instant> request_started_at;
  /// Sequence number of the latest data of the request.
  std::uint32_t sequence = 0;
  /// When data of the request was last sent or retransmitted.
  Instant last_data_at;
  /// When new data of the request was last sent. New data beyond the send window means that the
  /// target acknowledged earlier data.
  Instant last_new_data_at;
  /// Retransmissions since the last new data.
  std::uint32_t retransmissions = 0;
};

class FlowTable {
 public:
  /// Maximum number of entries.
  static constexpr std::size_t kMaxEntries = 1U << 17U;
  using Visitor = std::function<void(const FlowEntry&)>;
  using EntryVisitor = std::function<void(const SteeredFlow&, FlowEntry&)>;

  [[nodiscard]] FlowEntry* find(const SteeredFlow& flow);
  /// Inserts an entry; returns nullptr when the table is full.
  FlowEntry* insert(const SteeredFlow& flow, const FlowEntry& entry);
  /// Evicts entries that have been idle longer than their phase allows, and calls `on_expired` for
  /// each.
  void expire(Duration idle_timeout, Instant now, const Visitor& on_expired);
  /// Visits all open flows in unspecified order.
  void visit_open(const EntryVisitor& visit);
  /// Visits all open flows at a target in unspecified order.
  void visit_open(TargetId target, const EntryVisitor& visit);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  absl::flat_hash_map<SteeredFlow, FlowEntry> entries_;
};

}  // namespace gorsevalve
