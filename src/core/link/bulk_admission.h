/// Whether a new bulk flow (an upload) finds room on this machine's link. Flows that are open share
/// the link, so each further one slows the others; when what they still bring takes longer than
/// callers wait, they end in vain. So a flow that cannot land before its caller leaves is refused
/// at once, while its caller has tries left that reach other balancers. A state machine without
/// sockets or clocks; memory only, and bounded.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "core/link/link_model.h"
#include "core/steering/flow_table.h"
#include "model/time.h"

namespace gorsevalve {

class BulkAdmission {
 public:
  /// Flows that are counted at most; further ones are refused. 1,024 windows of 16 packets would
  /// keep a link of 2 Mbit/s busy for 80 s.
  static constexpr std::size_t kMaxFlows = 1024;

  /// `link` must outlive the object.
  explicit BulkAdmission(const LinkModel& link) : link_(link) {}

  /// What a flow is taken to bring before any has ended, in octets: two windows of 16 large
  /// packets.
  static constexpr double kInitialFlowSize = 2 * 16 * 1200;

  /// A flow wants to open whose caller waits for `timeout`. False when it would end after its
  /// caller has left: when all that is open here and this flow take the link longer than half of
  /// that. Copies of an opening that was admitted are admitted, too.
  bool try_admit(const SteeredFlow& flow, Duration timeout, Instant now);
  /// A packet of an open flow passed, with this much data that is not a copy, in octets.
  void on_data(const SteeredFlow& flow, std::size_t octets, Instant now);
  /// The flow's caller ended it, or was told that it has ended. `is_snapshot`: the caller closed
  /// it, so its size tells of others.
  void on_flow_end(const SteeredFlow& flow, bool is_whole);
  /// Forgets flows that went silent; to be called about once a second.
  void on_tick(Instant now);

  /// How long the link needs for what open flows are expected to bring still.
  [[nodiscard]] Duration expected_drain_time() const { return transmission_time(0); }
  [[nodiscard]] std::size_t flows() const { return flows_.size(); }
  [[nodiscard]] std::uint64_t admitted() const { return admitted_; }
  [[nodiscard]] std::uint64_t rejected() const { return rejected_; }
  /// Octets that a flow usually brings.
  [[nodiscard]] double average_flow_size() const { return average_flow_size_; }

 private:
  struct OpenFlow {
    /// Octets that have passed.
    double received_bytes = 0;
    Instant last_data_at;
  };

  /// How long the link needs for all open flows, and these octets more.
  [[nodiscard]] Duration transmission_time(double more) const;
  /// Octets that a flow is expected to bring still.
  [[nodiscard]] double expected_remaining_bytes(const OpenFlow& flow) const;

  const LinkModel& link_;
  absl::flat_hash_map<SteeredFlow, OpenFlow> flows_;
  double average_flow_size_ = kInitialFlowSize;
  std::uint64_t admitted_ = 0;
  std::uint64_t rejected_ = 0;
};

}  // namespace gorsevalve
