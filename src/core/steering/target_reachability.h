/// Detects targets that this balancer cannot reach, so that clients with open flows at them can be
/// reset at once. Client packets alone are not enough: a lost packet, a full queue and a dead
/// target look alike, because targets reply to clients directly. A suspicion therefore only starts
/// probes, TCP connections that are opened to the target's address and closed again, and the probes
/// decide. It is deterministic, does no I/O and reads no clock.
///
/// A target counts as unreachable when its probes timed out or were refused while a probe of a
/// reference target, sent between them, was answered. A slow balancer, or one that is cut off
/// itself, therefore reports no target. While the local link is congested, silence proves nothing,
/// because probes and answers may have been lost on it. Only refusals count then, and a suspicion
/// that saw congestion is probed again once the congestion ends. Each balancer decides by its own
/// path to the target; reports of other balancers only start probes.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

/// Result of a probe that was answered.
enum class ProbeAnswer : std::uint8_t {
  /// Something accepts connections at the address.
  kAccepted = 0,
  /// The host refuses connections at the address.
  kRefused = 1,
  /// Something accepts connections at the address, which another target probably holds. Does not
  /// restore an unreachable target.
  kAmbiguous = 2,
};

/// A probe connection to open.
struct ProbeRequest {
  std::uint64_t number = 0;
  TargetId target = 0;
};

/// Why a target counts as unreachable.
enum class UnreachableReason : std::uint8_t {
  kSilent = 0,
  kRefused = 1,
  /// Another target at the same address accepted a flow.
  kReplaced = 2,
};

/// Name of a reason in logs.
std::string_view to_string(UnreachableReason reason);

/// A target that was found to be unreachable from this balancer.
struct UnreachableTarget {
  TargetId target = 0;
  UnreachableReason reason = UnreachableReason::kSilent;
  /// Time from the suspicion to the detection.
  Duration detection_time{0};
  std::uint32_t probes = 0;
};

/// Injected faults, used only by tests to show that their checks can fail.
struct ReachabilityFaults {
  /// Reports each suspected target as unreachable without a probe.
  bool trust_suspicions = false;
  /// Counts unanswered probes although no reference target answered.
  bool ignore_references = false;
  /// Counts unanswered probes while the local link is congested.
  bool ignore_congestion = false;
  /// Counts refusals although no flow is known to be unacknowledged.
  bool trust_refusals = false;
};

class TargetReachability {
 public:
  /// False while the target is suspected or unreachable, shortly after it answered, and while too
  /// many other targets are suspected.
  [[nodiscard]] bool may_suspect(TargetId target, Instant now) const;
  /// Starts probing a target that seems not to answer; does nothing unless `may_suspect`.
  /// `references` are other targets that answered recently; without one, silence proves nothing.
  void suspect(TargetId target, const std::vector<TargetId>& references, Instant now);
  /// A client retransmits data that it had already retransmitted at `sent_at` over a link that was
  /// not congested. A live target acknowledges a retransmission, so this one did not receive it or
  /// is gone. Counts only if a probe of about that time was refused, which shows that the path to
  /// the host was open.
  void on_unacknowledged_flow(TargetId target, Instant sent_at);
  /// Another target at the same address accepted a flow, so this one is gone. It is not probed,
  /// because connections accepted at the address say nothing about it.
  void on_replaced(TargetId target, Instant now);
  /// A client received data or an acknowledgement from the target, so it is alive and reachable.
  void on_progress(TargetId target, Instant now);
  /// Sets whether the local link is so congested that answers may be delayed or lost. Call it
  /// before each step; by default the link is not congested.
  void set_link_congested(bool is_congested, Instant now);
  void on_answer(std::uint64_t probe, ProbeAnswer answer, Instant now);
  /// The target of an unanswered probe; 0 if there is none.
  [[nodiscard]] TargetId probed_target(std::uint64_t probe) const;
  /// A probe could not be sent; it proves nothing.
  void on_not_sent(std::uint64_t probe, Instant now);
  void remove(TargetId target);

  /// Probes to send now. Call it every `kStepInterval` while `is_probing`, otherwise occasionally.
  [[nodiscard]] std::vector<ProbeRequest> take_probes(Instant now);
  /// Targets that were unreachable and became reachable since the last call, in ascending order.
  [[nodiscard]] std::vector<TargetId> take_restored();
  /// Targets that were newly found to be unreachable.
  [[nodiscard]] std::vector<UnreachableTarget> detect_unreachable(Instant now);

  [[nodiscard]] bool is_unreachable(TargetId target) const { return unreachable_.contains(target); }
  /// True while a suspicion is neither confirmed nor dismissed, or a result is not yet returned by
  /// `detect_unreachable`.
  [[nodiscard]] bool is_probing() const { return !suspicions_.empty() || !detected_.empty(); }
  void set_faults(const ReachabilityFaults& faults) { faults_ = faults; }
  [[nodiscard]] std::size_t unreachable_count() const { return unreachable_.size(); }

  /// Interval between two probes of a suspected target: a round trip between two regions (12 ms
  /// each way). It determines how long clients wait beyond their retransmission timeout of 200 ms.
  static constexpr Duration kStepInterval = std::chrono::milliseconds(25);
  /// Upper bound of targets that are suspected at the same time; others wait for their next
  /// suspicion. A suspicion takes 0.11 s, so a fifth of 4,200 targets that fail at once is decided
  /// within two seconds.
  static constexpr std::size_t kMaxSuspicions = 64;

 private:
  /// A suspected target.
  struct Suspicion {
    std::vector<TargetId> references;
    Instant since;
    /// Start of the probes that count: the suspicion, or the end of link congestion.
    Instant probing_since;
    /// When the last probe was sent.
    Instant probed_at;
    /// Number of probes sent since `probing_since`.
    std::uint32_t probes = 0;
    std::uint32_t refusals = 0;
    /// Send time of the first probe that was refused.
    std::optional<Instant> refused_at;
    /// A flow at the target is unacknowledged although the path to the host is open.
    bool has_unacknowledged_flow = false;
    /// The local link was congested since `probing_since`, so silence does not count.
    bool saw_congestion = false;
    /// Round-trip time of the first reference target that answered.
    std::optional<Duration> reference_rtt;
  };
  /// A probe that is not answered yet.
  struct SentProbe {
    TargetId target = 0;
    /// The suspected target that this reference probe belongs to; 0 for a probe of the suspected
    /// target itself.
    TargetId reference_for = 0;
    Instant at;
  };

  void send(TargetId target, TargetId reference_for, Instant now, std::vector<ProbeRequest>& out);
  void probe_suspicions(Instant now, std::vector<ProbeRequest>& out);
  void probe_unreachable(Instant now, std::vector<ProbeRequest>& out);
  void remove_expired(Instant now);
  /// Restarts the probes of a suspicion after link congestion.
  static void restart(Suspicion& suspected, Instant now);
  /// True when the probes of a suspicion can no longer lead to a decision.
  [[nodiscard]] static bool is_inconclusive(const Suspicion& suspected, Instant now);
  /// Ends a suspicion without a decision.
  void drop_inconclusive(TargetId target, Instant now);
  void on_reference_answer(const SentProbe& probe, Instant now);
  /// Marks the target as reachable.
  void clear(TargetId target, Instant now);
  void on_target_answer(const SentProbe& probe, ProbeAnswer answer, Instant now);
  [[nodiscard]] std::optional<UnreachableReason> evaluate(const Suspicion& suspected,
                                                          Instant now) const;

  ReachabilityFaults faults_;
  bool is_link_congested_ = false;
  std::uint64_t last_probe_ = 0;
  /// Ordered, so that the order of probes and results is deterministic.
  std::map<TargetId, Suspicion> suspicions_;
  /// A target that is unreachable.
  struct Unreachable {
    Instant probe_next_at;
    /// Consecutive probes that were accepted.
    std::uint32_t accepted = 0;
    bool is_replaced = false;
  };
  std::map<TargetId, Unreachable> unreachable_;
  /// Unreachable targets that `detect_unreachable` did not return yet.
  std::vector<UnreachableTarget> detected_;
  /// Targets that recently proved reachable or were inconclusive, with the end of the time during
  /// which they are not suspected.
  absl::flat_hash_map<TargetId, Instant> cleared_until_;
  absl::flat_hash_map<std::uint64_t, SentProbe> sent_;
  std::vector<TargetId> restored_;
};

}  // namespace gorsevalve
