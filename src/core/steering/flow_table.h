/// Flows that passed this balancer lately: for load figures, and so that copies of an opening
/// packet meet the same target. An open flow survives without its entry.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>

#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

/// The two ends of a flow as a caller's packets name them.
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
  /// The caller sent a copy of its opening packet.
  bool is_retransmitted = false;
  Instant last_seen;
  /// The caller's last acknowledgement number.
  std::uint32_t acknowledged = 0;
  /// When the request that is under way began; nothing between requests.
  std::optional<Instant> request_started_at;
  /// Place of the latest data of that request in the caller's stream.
  std::uint32_t sequence = 0;
  /// When data of that request was sent for the first time, or again.
  Instant last_data_at;
  /// When data of that request that had not been sent before came last: a caller sends more than
  /// fits under way at once only when its target acknowledged what was before.
  Instant last_new_data_at;
  /// How often the caller had to send data of that request again since then.
  std::uint32_t retransmissions = 0;
};

class FlowTable {
 public:
  /// Entries that are held at most.
  static constexpr std::size_t kMaxEntries = 1U << 17U;
  using Visitor = std::function<void(const FlowEntry&)>;
  using EntryVisitor = std::function<void(const SteeredFlow&, FlowEntry&)>;

  [[nodiscard]] FlowEntry* find(const SteeredFlow& flow);
  /// A new entry; nullptr when the table is full.
  FlowEntry* insert(const SteeredFlow& flow, const FlowEntry& entry);
  /// Drops entries that have rested for longer than their phase allows; tells each.
  void expire(Duration idle_timeout, Instant now, const Visitor& on_expired);
  /// Shows all entries of open flows, in no order.
  void visit_open(const EntryVisitor& visit);
  /// Shows all entries of open flows at a target, in no order.
  void visit_open(TargetId target, const EntryVisitor& visit);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  absl::flat_hash_map<SteeredFlow, FlowEntry> entries_;
};

}  // namespace gorsevalve
