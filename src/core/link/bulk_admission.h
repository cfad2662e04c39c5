/// Admission control for bulk flows (uploads) on this machine's link. Open bulk flows share the
/// link. A new flow is rejected at once when it could not finish before its client times out; the
/// client can then still retry at another balancer. Deterministic, does no I/O and reads no clock;
/// its memory is bounded.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "core/link/link_model.h"
#include "core/steering/flow_table.h"
#include "model/time.h"

namespace gorsevalve {

class BulkAdmission {
 public:
  /// Maximum number of tracked flows; further ones are rejected. Windows of 16 packets of this many
  /// flows keep a 2 Mbit/s link busy for 80 s.
  static constexpr std::size_t kMaxFlows = 1024;

  /// `link` must outlive the object.
  explicit BulkAdmission(const LinkModel& link) : link_(link) {}

  /// Flow size in bytes that is assumed before any flow has ended: two windows of 16 large packets.
  static constexpr double kInitialFlowSize = 2 * 16 * 1200;

  /// Decides on a new flow whose client times out after `timeout`. Returns false when sending all
  /// open flows and this one is expected to take longer than half of `timeout`, or when kMaxFlows
  /// are open. Always returns true when no other flow is open, on a link of unknown rate, and for
  /// retransmissions of an admitted opening packet.
  bool try_admit(const SteeredFlow& flow, Duration timeout, Instant now);
  /// Records a packet of an open flow that carries this many new (not retransmitted) bytes.
  void on_data(const SteeredFlow& flow, std::size_t bytes, Instant now);
  /// Records that the client closed or reset the flow, or was notified of its end. `is_complete` is
  /// true only when the client closed it; only then does its size count for the average.
  void on_flow_end(const SteeredFlow& flow, bool is_complete);
  /// Removes idle flows; called about once a second.
  void on_tick(Instant now);

  /// Time that the link needs for the data that open flows are still expected to send.
  [[nodiscard]] Duration expected_drain_time() const { return transmission_time(0); }
  [[nodiscard]] std::size_t flows() const { return flows_.size(); }
  [[nodiscard]] std::uint64_t admitted() const { return admitted_; }
  [[nodiscard]] std::uint64_t rejected() const { return rejected_; }
  /// Average size of completed flows, in bytes.
  [[nodiscard]] double average_flow_size() const { return average_flow_size_; }

 private:
  struct OpenFlow {
    /// Bytes received so far, without retransmissions.
    double received_bytes = 0;
    Instant last_data_at;
  };

  /// Time that the link needs for all open flows plus this many bytes.
  [[nodiscard]] Duration transmission_time(double additional_bytes) const;
  /// Bytes that a flow is still expected to send.
  [[nodiscard]] double expected_remaining_bytes(const OpenFlow& flow) const;

  const LinkModel& link_;
  absl::flat_hash_map<SteeredFlow, OpenFlow> flows_;
  double average_flow_size_ = kInitialFlowSize;
  std::uint64_t admitted_ = 0;
  std::uint64_t rejected_ = 0;
};

}  // namespace gorsevalve
