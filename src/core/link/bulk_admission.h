/// Whether a new bulk flow (an upload) finds room on this machine's link. Flows that are open share
/// the link evenly, so each further one slows all of them; when what they still bring takes longer
/// than callers wait, all end late and in vain. So a flow that cannot be served in time is refused
/// at once, while its caller has tries left that reach other balancers. A state machine without
/// sockets or clocks; memory only, and bounded.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "core/link/link_model.h"
#include "core/steering/flow_table.h"
#include "model/time.h"

namespace gorsevalve {

/// What becomes of an opening.
enum class AdmissionVerdict : std::uint8_t {
  kAdmitted = 0,
  /// No room yet. The opening is dropped: its caller knocks again by itself, 200 and 600 ms after
  /// the first time.
  kWaits = 1,
  /// The caller's last copy came and there is still no room.
  kRefused = 2,
};

class BulkAdmission {
 public:
  /// Flows that are counted at most; further ones are refused. 1,024 windows of 16 packets would
  /// keep a link of 2 Mbit/s busy for 80 s.
  static constexpr std::size_t kMaxFlows = 1024;

  /// `link` must outlive the object.
  explicit BulkAdmission(const LinkModel& link) : link_(link) {}

  /// What a flow is taken to bring before any has ended, in octets: two windows of 16 large
  /// packets.
  static constexpr double kFirstGuess = 2 * 16 * 1200;

  /// A flow wants to open, and `copies_before` of its openings came earlier. There is room while
  /// the link needs at most half of the latency objective for all that is open here and this flow:
  /// so one that found room with its last copy, after 600 ms, is still in time where the objective
  /// is 1.2 s or more. As many may wait as the other half serves; more are refused at once. Copies
  /// of an opening that was admitted are admitted, too.
  AdmissionVerdict judge(const SteeredFlow& flow, std::uint32_t copies_before,
                         Duration latency_objective, Instant now);
  /// A packet of an open flow passed, with this much data that is not a copy, in octets.
  void on_data(const SteeredFlow& flow, std::size_t octets, Instant now);
  /// The flow's caller ended it, or was told that it has ended.
  void on_end(const SteeredFlow& flow);
  /// Forgets flows that went silent; to be called about once a second.
  void on_tick(Instant now);

  /// How long the link needs for what open flows are expected to bring still.
  [[nodiscard]] Duration committed() const { return time_for(0); }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  [[nodiscard]] std::size_t flows() const { return flows_.size(); }
  [[nodiscard]] std::uint64_t admitted() const { return admitted_; }
  [[nodiscard]] std::uint64_t kept_waiting() const { return kept_waiting_; }
  [[nodiscard]] std::uint64_t refused() const { return refused_; }
  /// Octets that a flow usually brings.
  [[nodiscard]] double usual_size() const { return usual_size_; }

 private:
  struct OpenFlow {
    /// Octets that have passed.
    double passed = 0;
    Instant last_data;
  };

  void admit(const SteeredFlow& flow, Instant now);
  /// True when the flow may knock again with a hope of being served in time.
  bool may_wait(const SteeredFlow& flow, std::uint32_t copies_before, Duration latency_objective,
                Instant now);
  /// How long the link needs for all open flows, and these octets more.
  [[nodiscard]] Duration time_for(double more) const;
  /// Octets that a flow is expected to bring still.
  [[nodiscard]] double left_of(const OpenFlow& flow) const;

  const LinkModel& link_;
  absl::flat_hash_map<SteeredFlow, OpenFlow> flows_;
  /// Flows that found no room, by the time of their first opening.
  absl::flat_hash_map<SteeredFlow, Instant> waiting_;
  double usual_size_ = kFirstGuess;
  std::uint64_t admitted_ = 0;
  /// Openings, not flows: each copy that found no room counts.
  std::uint64_t kept_waiting_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace gorsevalve
