/// State machine of the control log: the fleet state and the outcome of every submission.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/control/evacuation.h"
#include "core/control/fleet_delta.h"
#include "core/control/fleet_digest.h"
#include "core/control/replica.h"
#include "core/control/steering_commands.h"
#include "model/fleet.h"

namespace gorsevalve {

/// Idempotency key of a submission, chosen by the submitter.
using SubmissionId = std::string;

/// A complete settings file, submitted against a base revision.
struct SettingsCommand {
  SubmissionId id;
  /// Settings revision that the file was edited from.
  Revision base_revision = 0;
  std::string author;
  /// When the leader received the submission, in seconds since 1970.
  std::int64_t submitted_at_s = 0;
  /// The file as submitted, and its validated content.
  std::string text;
  Settings settings;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& base_revision& author& submitted_at_s& text& settings;
  }
};

/// Whether a submission was accepted, and the revision that decided it.
struct SubmissionOutcome {
  SubmissionId id;
  bool accepted = false;
  /// Settings revision that the submission created or conflicted with.
  Revision revision = 0;
  /// Submission that created `revision`.
  SubmissionId winner;

  friend bool operator==(const SubmissionOutcome&, const SubmissionOutcome&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& accepted& revision& winner;
  }
};

/// Entry of the settings history.
struct RevisionInfo {
  Revision revision = 0;
  SubmissionId submission;
  std::string author;
  std::int64_t submitted_at_s = 0;
  /// XXH3 of the text.
  std::uint64_t digest = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& submission& author& submitted_at_s& digest;
  }
};

class ControlState : public ReplicatedState {
 public:
  /// Maximum number of stored submission outcomes.
  static constexpr std::size_t kMaxOutcomes = 4096;
  /// Maximum number of deltas kept for nodes that are behind.
  static constexpr std::size_t kMaxDeltas = 256;
  static constexpr std::size_t kMaxHistory = 128;

  explicit ControlState(std::uint32_t partitions);

  void apply(const LogEntry& entry) override;
  [[nodiscard]] Bytes save() const override;
  void restore(ByteView saved) override;

  [[nodiscard]] const FleetState& fleet() const { return fleet_; }
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] const std::string& settings_text() const { return settings_text_; }
  /// Text of the steering settings as submitted.
  [[nodiscard]] const std::string& steering_text() const { return steering_text_; }
  [[nodiscard]] const std::vector<RevisionInfo>& history() const { return history_; }
  /// Outcome of a submission. Nothing if it is undecided or its outcome was evicted.
  [[nodiscard]] std::optional<SubmissionOutcome> outcome(const SubmissionId& id) const;
  /// The delta based on a revision, or nullptr when it is not kept.
  [[nodiscard]] const FleetDelta* delta_after(Revision revision) const;

 private:
  void apply_settings(LogIndex index, SettingsCommand command);
  void apply_members(LogIndex index, const MembersCommand& command);
  void apply_steering(LogIndex index, SteeringCommand command);
  void apply_registrations(LogIndex index, const RegistrationCommand& command);
  void apply_evacuation(LogIndex index, const EvacuationCommand& command);
  void add_steering_delta(LogIndex index, SteeringDelta change);
  void record_outcome(SubmissionOutcome outcome);
  /// Applies a delta and keeps it for nodes that are behind.
  void add_delta(FleetDelta delta);
  /// Rebuilds the token index and the digest from the fleet state.
  void rebuild_derived_state();

  FleetState fleet_;
  FleetDigest fleet_digest_;
  TokenIndex tokens_;
  std::uint64_t digest_ = 0;
  std::string settings_text_;
  std::string steering_text_;
  std::vector<RevisionInfo> history_;
  std::deque<SubmissionOutcome> outcomes_;
  std::map<SubmissionId, std::size_t> outcome_positions_;
  std::size_t evicted_outcomes_ = 0;
  std::deque<FleetDelta> deltas_;
};

}  // namespace gorsevalve
