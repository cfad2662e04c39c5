/// Finds out which targets cannot be reached from this balancer, so that callers with open flows at
/// them can be told at once. Packets alone cannot tell: a lost packet, a full queue and a dead
/// target look alike, since targets answer callers directly. So a suspicion only leads to probes,
/// connections that are opened to the target's address and closed again, and these decide. A state
/// machine without sockets or clocks.
///
/// A target counts as unreachable when its probes came to nothing or were refused, while a probe of
/// another target, sent between them, was answered: so neither a slow balancer nor one that is cut
/// off blames a target. While this machine's own link is congested, silence proves nothing: probes
/// and answers may have been lost on it. Only refusals count then, and a case that met congestion
/// is probed anew once the link is free. Each balancer concludes for itself, by its own path to the
/// target. What others concluded only makes it look for itself.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

/// What became of a probe that was answered at all.
enum class ProbeAnswer : std::uint8_t {
  /// Something accepts connections at the address.
  kAccepted = 0,
  /// The machine says that nothing listens there.
  kRefused = 1,
};

/// A connection to open.
struct ProbeRequest {
  std::uint64_t number = 0;
  TargetId target = 0;
};

/// Why a target counts as unreachable.
enum class UnreachableReason : std::uint8_t {
  kSilent = 0,
  kRefused = 1,
  /// A later target announced itself at the same address.
  kReplaced = 2,
};

/// Name of a reason in logs.
std::string_view to_string(UnreachableReason reason);

/// A conclusion: flows at this target get nowhere from here.
struct UnreachableTarget {
  TargetId target = 0;
  UnreachableReason reason = UnreachableReason::kSilent;
  /// From the suspicion to the conclusion.
  Duration detection_time{0};
  std::uint32_t probes = 0;
};

/// Deliberate faults, for the test that shows that the checkers can fail. All off in programs.
struct ReachabilityFaults {
  /// Takes each suspicion for a conclusion, without a probe.
  bool trust_suspicions = false;
  /// Counts the silence of probes without an answer of another target.
  bool ignore_references = false;
  /// Counts the silence of probes while the own link is congested.
  bool ignore_congestion = false;
  /// Counts refusals although no flow is known to get nothing back.
  bool trust_refusals = false;
};

class TargetReachability {
 public:
  /// False while the target is under suspicion or known to be unreachable, shortly after it
  /// answered, and while too many others are under suspicion.
  [[nodiscard]] bool may_suspect(TargetId target, Instant now) const;
  /// Something points to a target that does not answer; does nothing where it may not be suspected.
  /// `references` are other targets that answered lately; without one, silence proves nothing.
  void suspect(TargetId target, const std::vector<TargetId>& references, Instant now);
  /// A caller repeats data that it had sent again at `sent_at`, over a link that was free: a target
  /// that lives acknowledges what comes again, so it did not get that, or is gone. It counts when a
  /// probe of that moment was refused: the way to the machine was open.
  void on_unacknowledged_flow(TargetId target, Instant sent_at);
  /// Another target announced itself later at the address of this one: what is accepted there says
  /// nothing of this one any more.
  void on_replaced(TargetId target) { replaced_.insert(target); }
  /// A caller got something from the target: it lives and can be reached.
  void on_progress(TargetId target, Instant now);
  /// Tells whether this machine's own link is so busy that answers may be late or lost. To be told
  /// before each step; a link that nobody tells of is free.
  void set_link_congested(bool is_congested, Instant now);
  void on_answer(std::uint64_t probe, ProbeAnswer answer, Instant now);
  /// A probe could not be sent: what it would have shown stays open.
  void on_not_sent(std::uint64_t probe, Instant now);
  void forget(TargetId target);

  /// Probes to send now. To be called each `kStepInterval` while `is_probing`, else now and then.
  [[nodiscard]] std::vector<ProbeRequest> take_probes(Instant now);
  /// Targets that were unreachable and answered since the last call, in order.
  [[nodiscard]] std::vector<TargetId> take_restored();
  /// What is newly concluded.
  [[nodiscard]] std::vector<UnreachableTarget> detect_unreachable(Instant now);

  [[nodiscard]] bool is_unreachable(TargetId target) const { return unreachable_.contains(target); }
  /// True while a suspicion is neither confirmed nor dismissed.
  [[nodiscard]] bool is_probing() const { return !suspicions_.empty(); }
  void set_faults(const ReachabilityFaults& faults) { faults_ = faults; }
  [[nodiscard]] std::size_t unreachable_count() const { return unreachable_.size(); }

  /// Pause between two probes of a suspected target: a round trip between two regions (12 ms each
  /// way). Callers repeat data after 200 ms, so this decides how long they wait beyond that.
  static constexpr Duration kStepInterval = std::chrono::milliseconds(25);
  /// Targets under suspicion at once; further ones wait for their next sign. A case takes 0.11 s,
  /// so a fifth of 4,200 targets that die at once are judged within two seconds.
  static constexpr std::size_t kMaxSuspicions = 64;

 private:
  /// A target under suspicion.
  struct Suspicion {
    std::vector<TargetId> references;
    Instant since;
    /// When the probes that count began: with the suspicion, or when the link was free again.
    Instant probing_since;
    /// When the last probe was sent.
    Instant probed_at;
    /// Probes that count.
    std::uint32_t probes = 0;
    std::uint32_t refusals = 0;
    /// When the first probe that was refused was sent.
    std::optional<Instant> refused_at;
    /// A flow at the target gets nothing back, although the way there is open.
    bool has_unacknowledged_flow = false;
    /// The own link was congested since then, so that silence counts for nothing.
    bool saw_congestion = false;
    /// How long the first reference to answer took.
    std::optional<Duration> reference_rtt;
  };
  /// A probe whose answer is awaited.
  struct SentProbe {
    TargetId target = 0;
    /// The suspected target for which another one is probed; 0 for a probe of the suspected target.
    TargetId reference_for = 0;
    Instant at;
  };

  void send(TargetId target, TargetId reference_for, Instant now, std::vector<ProbeRequest>& out);
  void probe_cases(Instant now, std::vector<ProbeRequest>& out);
  void probe_unreachable(Instant now, std::vector<ProbeRequest>& out);
  void drop_expired(Instant now);
  /// Probes a target anew whose probes met congestion.
  static void restart(Suspicion& suspected, Instant now);
  /// True when nothing can be concluded any more from the probes of a suspicion.
  [[nodiscard]] static bool is_inconclusive(const Suspicion& suspected, Instant now);
  /// Ends a suspicion without a conclusion.
  void drop_inconclusive(TargetId target, Instant now);
  void on_reference_answer(const SentProbe& probe, Instant now);
  /// The target lives and can be reached.
  void clear(TargetId target, Instant now);
  void on_target_answer(const SentProbe& probe, ProbeAnswer answer, Instant now);
  [[nodiscard]] std::optional<UnreachableReason> evaluate(TargetId target,
                                                          const Suspicion& suspected,
                                                          Instant now) const;

  ReachabilityFaults faults_;
  bool is_link_congested_ = false;
  std::uint64_t last_probe_ = 0;
  /// Ordered, so that what is sent and concluded does not depend on the order of a hash map.
  std::map<TargetId, Suspicion> suspicions_;
  /// A target that cannot be reached.
  struct Unreachable {
    Instant probe_next_at;
    /// Probes in a row that were accepted since.
    std::uint32_t accepted = 0;
  };
  std::map<TargetId, Unreachable> unreachable_;
  absl::flat_hash_set<TargetId> replaced_;
  /// Until when nothing is suspected of a target that showed that it can be reached.
  absl::flat_hash_map<TargetId, Instant> cleared_until_;
  absl::flat_hash_map<std::uint64_t, SentProbe> sent_;
  std::vector<TargetId> restored_;
};

}  // namespace gorsevalve
