/// Detects when the path from this balancer to a whole zone becomes unreachable ("cut") and when it
/// recovers. It is deterministic, does no I/O and reads no clock.
///
/// A silent target starts a path check of its zone: several targets of the zone and, as reference
/// targets, targets of the local zone are probed. The path counts as cut when every sampled target
/// is silent or refuses in each round, no other answer from the zone arrives, and the reference
/// targets answer nearly all of their probes. Therefore a failed rack, a busy zone or a slow link
/// is not mistaken for a cut (one answer ends the check), nor is packet loss (it would affect the
/// local zone as well), nor a paused balancer (the check restarts) or a congested local link (the
/// check is dropped). Each balancer decides by its own probes; reports of other balancers only
/// start checks.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/steering/target_reachability.h"
#include "core/steering/zone_path_check.h"
#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

/// A zone path that became unreachable or recovered.
struct ZonePathChange {
  std::string zone;
  bool is_cut = false;
  /// Time from the first unanswered packet to the detection, or the time for which the path was
  /// cut.
  Duration duration{0};
  /// Number of targets that were silent, or that answered again.
  std::uint32_t targets = 0;
  /// Number of probes sent to them.
  std::uint32_t probes = 0;
  /// Number of probes refused by the host or by something on the path.
  std::uint32_t refusals = 0;
  /// The silent target that started the check; 0 for a recovery.
  TargetId suspected = 0;
};

/// Injected faults, used only by tests to show that their checks can fail.
struct ZonePathFaults {
  /// Detects a cut without any answer from the local zone.
  bool ignore_references = false;
  /// Detects a cut from the silence of the first suspected target alone.
  bool trust_one_target = false;
};

class ZonePaths {
 public:
  /// If `own_zone` is empty, no path is checked, because no target is known to be local.
  explicit ZonePaths(std::string own_zone) : own_zone_(std::move(own_zone)) {}

  /// Removes all targets; cut paths stay cut.
  void clear_targets();
  void on_target(const RegisteredTarget& target);
  void on_removed(TargetId target);

  /// True when `suspect` would start a check of the zone of the target.
  [[nodiscard]] bool may_check(TargetId target, Instant now) const;
  /// A packet sent to the target at `sent_at` got no reply within the reply timeout. `answered` are
  /// targets of any zone that replied recently, the latest first.
  void suspect(TargetId target, Instant sent_at, const std::vector<TargetId>& answered,
               Instant now);
  /// The target replied to a packet that was sent to it at `sent_at`.
  void on_progress(TargetId target, Instant sent_at, Instant now);

  /// Probes to send now. Call it every `TargetReachability::kStepInterval` while `is_checking`,
  /// otherwise occasionally. Their numbers are above `kProbeNumberBase`.
  [[nodiscard]] std::vector<ProbeRequest> take_probes(Instant now);
  void on_answer(std::uint64_t probe, ProbeAnswer answer, Instant now);
  /// A probe could not be sent; it proves nothing.
  void on_not_sent(std::uint64_t probe, Instant now);
  /// Newly detected changes. On a congested local link, silence proves nothing.
  [[nodiscard]] std::vector<ZonePathChange> detect_changes(bool is_link_congested, Instant now);

  [[nodiscard]] bool is_cut(TargetId target) const {
    // Fast path: this is called for each candidate target, and usually no path is cut.
    return cut_count_ > 0 && is_behind_cut_path(target);
  }
  [[nodiscard]] bool is_cut(std::string_view zone) const;
  /// False while the path is recovering and the new flow with this hash is not in the growing share
  /// that may use it.
  [[nodiscard]] bool admits(TargetId target, std::uint64_t flow_hash, Instant now) const {
    return recovering_count_ == 0 || is_admitted(target, flow_hash, now);
  }
  /// True while the path to some zone is recovering.
  [[nodiscard]] bool is_recovering() const { return recovering_count_ > 0; }
  /// True while a check is in progress.
  [[nodiscard]] bool is_checking() const { return active_checks_ > 0; }
  [[nodiscard]] std::size_t cut_count() const { return cut_count_; }
  void set_faults(const ZonePathFaults& faults) { faults_ = faults; }

  /// Probe numbers are above this value, which distinguishes them from those of single targets.
  static constexpr std::uint64_t kProbeNumberBase = std::uint64_t{1} << 63U;
  /// Maximum number of zones that are checked.
  static constexpr std::size_t kMaxZones = 64;

 private:
  struct Zone {
    std::string name;
    std::vector<TargetId> targets;
    std::optional<ZonePathCheck> check;
    /// Earliest start of the next check. `check_backoff` doubles after each check that detected no
    /// cut, up to a limit.
    Instant next_check_at;
    Duration check_backoff{0};
    std::optional<Instant> cut_since;
    Instant probe_next_at;
    std::size_t next_target = 0;
    /// Targets that answered in the current and in the previous recovery round.
    std::vector<TargetId> responders;
    std::vector<TargetId> previous_responders;
    std::uint32_t recovery_probes = 0;
    /// Consecutive rounds with an answer.
    std::uint32_t answered_rounds = 0;
    /// When the path recovered; empty once all new flows may use it.
    std::optional<Instant> restored_at;
  };
  struct SentProbe {
    std::size_t zone = 0;
    TargetId target = 0;
    bool is_reference = false;
    Instant at;
    /// The attempt of the check that the probe belongs to; empty for a recovery probe.
    std::optional<std::uint32_t> attempt;
  };

  [[nodiscard]] bool is_behind_cut_path(TargetId target) const;
  [[nodiscard]] bool is_admitted(TargetId target, std::uint64_t flow_hash, Instant now) const;
  [[nodiscard]] const Zone* zone_of(TargetId target) const;
  [[nodiscard]] std::vector<TargetId> choose_recovery_probes(Zone& zone) const;
  std::size_t zone_index(const std::string& name);
  void begin_check(Zone& zone, std::vector<TargetId> sampled, Instant sent_at, Instant now);
  void add_samples(const Zone& zone, std::vector<TargetId>& sampled) const;
  [[nodiscard]] std::vector<TargetId> choose_references() const;
  void end_check(Zone& zone, bool is_answered, Instant now);
  void step_check(std::size_t index, Instant now, std::vector<ProbeRequest>& out);
  void check_other_zones(Instant sent_at, Instant now);
  void probe_recovery(std::size_t index, Instant now, std::vector<ProbeRequest>& out);
  void send(const SentProbe& probe, std::vector<ProbeRequest>& out);
  /// True when an answer of the target ends the check: always, except with an injected fault.
  [[nodiscard]] bool ends_check(const ZonePathCheck& path_check, TargetId target) const;
  void on_check_answer(Zone& zone, const SentProbe& probe, ProbeAnswer answer, Instant now);
  void evaluate_check(Zone& zone, bool is_link_congested, Instant now,
                      std::vector<ZonePathChange>& out);
  void mark_cut(Zone& zone, Instant now);
  /// Targets that answered in the last two recovery rounds.
  [[nodiscard]] static std::vector<TargetId> recent_responders(const Zone& zone);
  [[nodiscard]] static bool is_recovered(const Zone& zone);
  void evaluate_recovery(Zone& zone, Instant now, std::vector<ZonePathChange>& out);

  std::string own_zone_;
  ZonePathFaults faults_;
  std::vector<Zone> zones_;
  /// Targets that replied recently as of the latest call of `suspect`, the latest first.
  std::vector<TargetId> answered_;
  /// Index into `zones_`.
  absl::flat_hash_map<TargetId, std::size_t> by_target_;
  absl::flat_hash_map<std::uint64_t, SentProbe> sent_;
  std::uint64_t last_probe_ = kProbeNumberBase;
  std::size_t active_checks_ = 0;
  std::size_t cut_count_ = 0;
  /// Number of zones whose share of new flows is growing after a recovery.
  std::size_t recovering_count_ = 0;
};

}  // namespace gorsevalve
