/// Finds out when the path from this balancer to a whole zone is cut, and when it is back. A state
/// machine without sockets or clocks.
///
/// One target that says nothing leads to a look at its zone: several targets of it are probed at
/// once, and targets of the own zone beside them. The path counts as cut when every one of these
/// targets stays silent or refuses in each round, nothing else of the zone is heard, and the own
/// zone answers nearly all of its probes meanwhile. So one rack, a busy zone or a slow link are not
/// taken for a cut (one answer ends the look), nor is loss (the own zone would lose as much), nor a
/// balancer that stood still (the look begins again) or whose own link is full (it is dropped).
/// Each balancer decides by its own sight; what others report only makes it look.
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

/// A path that was cut, or is back.
struct ZonePathChange {
  std::string zone;
  bool is_cut = false;
  /// From the first unanswered packet to the conclusion, or for how long the path was cut.
  Duration duration{0};
  /// Targets that were silent, or that answered again.
  std::uint32_t targets = 0;
  /// Probes of these that were sent.
  std::uint32_t probes = 0;
  /// Probes that something on the way, or the machine, refused.
  std::uint32_t refusals = 0;
  /// The target whose silence led to the look; 0 for a path that is back.
  TargetId suspected = 0;
};

/// Deliberate faults, for the test that shows that the checkers can fail. All off in programs.
struct ZonePathFaults {
  /// Concludes without any answer of the own zone.
  bool ignore_references = false;
  /// Concludes from the silence of the target that led to the look alone.
  bool trust_one_target = false;
};

class ZonePaths {
 public:
  /// A zone without a name is never judged: nothing else is known to be near.
  explicit ZonePaths(std::string own_zone) : own_zone_(std::move(own_zone)) {}

  /// Forgets targets; paths that are cut stay so.
  void clear_targets();
  void on_target(const RegisteredTarget& target);
  void on_forgotten(TargetId target);

  /// True when `doubt` would begin a look at the target's zone.
  [[nodiscard]] bool may_check(TargetId target, Instant now) const;
  /// A packet that was sent to the target at `sent_at` is not answered in the time that answers
  /// take. `answered` are targets of any zone that answered lately, the latest first.
  void suspect(TargetId target, Instant sent_at, const std::vector<TargetId>& answered,
               Instant now);
  /// The target answered something that was sent to it at `sent_at`.
  void on_progress(TargetId target, Instant sent_at, Instant now);

  /// Probes to send now. To be called each `TargetReachability::kStepInterval` while `is_checking`,
  /// else now and then. Their numbers are above `kProbeNumberBase`.
  [[nodiscard]] std::vector<ProbeRequest> take_probes(Instant now);
  void on_answer(std::uint64_t probe, ProbeAnswer answer, Instant now);
  /// A probe could not be sent: what it would have shown stays open.
  void on_not_sent(std::uint64_t probe, Instant now);
  /// What is newly concluded. Over an own link that is congested, silence says nothing.
  [[nodiscard]] std::vector<ZonePathChange> detect_changes(bool is_link_congested, Instant now);

  [[nodiscard]] bool is_cut(TargetId target) const {
    // In the usual case there is nothing to look up: this is asked for each target of a choice.
    return cut_count_ > 0 && is_beyond_cut(target);
  }
  [[nodiscard]] bool is_cut(std::string_view zone) const;
  /// False while a path is just back and the new flow with this hash is not among the growing part
  /// that goes there.
  [[nodiscard]] bool admits(TargetId target, std::uint64_t flow_hash, Instant now) const {
    return recovering_count_ == 0 || is_admitted(target, flow_hash, now);
  }
  /// True while the path to some zone is just back.
  [[nodiscard]] bool is_recovering() const { return recovering_count_ > 0; }
  /// True while a look is under way.
  [[nodiscard]] bool is_checking() const { return active_checks_ > 0; }
  [[nodiscard]] std::size_t cut_count() const { return cut_count_; }
  void set_faults(const ZonePathFaults& faults) { faults_ = faults; }

  /// Numbers of probes are above this, so that they are told from those of single targets.
  static constexpr std::uint64_t kProbeNumberBase = std::uint64_t{1} << 63U;
  /// Zones that are judged at most.
  static constexpr std::size_t kMaxZones = 64;

 private:
  struct Zone {
    std::string name;
    std::vector<TargetId> targets;
    std::optional<ZonePathCheck> check;
    /// No look before this; each one that came to nothing doubles the pause, up to a bound.
    Instant next_check_at;
    Duration check_backoff{0};
    std::optional<Instant> cut_since;
    Instant probe_next_at;
    std::size_t next_member = 0;
    /// Targets that answered in this round and the one before, while the path is cut.
    std::vector<TargetId> responders;
    std::vector<TargetId> previous_responders;
    std::uint32_t recovery_probes = 0;
    /// Rounds on end in which something answered.
    std::uint32_t answered_rounds = 0;
    /// When the path was back; nothing once load may return freely.
    std::optional<Instant> restored_at;
  };
  struct SentProbe {
    std::size_t zone = 0;
    TargetId target = 0;
    bool is_reference = false;
    Instant at;
    /// The attempt of the look that it belongs to; nothing when it is to see whether the path is
    /// back.
    std::optional<std::uint32_t> attempt;
  };

  [[nodiscard]] bool is_beyond_cut(TargetId target) const;
  [[nodiscard]] bool is_admitted(TargetId target, std::uint64_t flow_hash, Instant now) const;
  [[nodiscard]] const Zone* zone_of(TargetId target) const;
  [[nodiscard]] std::vector<TargetId> choose_recovery_probes(Zone& zone) const;
  std::size_t zone_index(const std::string& name);
  void begin_check(Zone& zone, std::vector<TargetId> witnesses, Instant sent_at, Instant now);
  void add_samples(const Zone& zone, std::vector<TargetId>& witnesses) const;
  [[nodiscard]] std::vector<TargetId> choose_references() const;
  void end_check(Zone& zone, bool is_answered, Instant now);
  void step_check(std::size_t index, Instant now, std::vector<ProbeRequest>& out);
  void check_other_zones(Instant sent_at, Instant now);
  void probe_recovery(std::size_t index, Instant now, std::vector<ProbeRequest>& out);
  void send(const SentProbe& probe, std::vector<ProbeRequest>& out);
  /// True when an answer of the target ends the look: of any, unless a deliberate fault is on.
  [[nodiscard]] bool ends_check(const ZonePathCheck& look, TargetId target) const;
  void on_check_answer(Zone& zone, const SentProbe& probe, ProbeAnswer answer, Instant now);
  void conclude_check(Zone& zone, bool is_link_congested, Instant now,
                      std::vector<ZonePathChange>& out);
  void begin_cut(Zone& zone, Instant now);
  /// Targets that answered in the last two looks whether the path is back.
  [[nodiscard]] static std::vector<TargetId> recent_responders(const Zone& zone);
  [[nodiscard]] static bool is_recovered(const Zone& zone);
  void conclude_recovery(Zone& zone, Instant now, std::vector<ZonePathChange>& out);

  std::string own_zone_;
  ZonePathFaults faults_;
  std::vector<Zone> zones_;
  /// What the latest doubt named as targets that answered lately, the latest first.
  std::vector<TargetId> answered_;
  /// Index into `zones_`.
  absl::flat_hash_map<TargetId, std::size_t> by_target_;
  absl::flat_hash_map<std::uint64_t, SentProbe> sent_;
  std::uint64_t last_probe_ = kProbeNumberBase;
  std::size_t active_checks_ = 0;
  std::size_t cut_count_ = 0;
  /// Zones to which load returns.
  std::size_t recovering_count_ = 0;
};

}  // namespace gorsevalve
