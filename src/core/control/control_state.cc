#include "core/control/control_state.h"

#include <xxhash.h>

#include <algorithm>

#include "codec/archive.h"

namespace gorsevalve {
namespace {

/// Serialized form of the state in a snapshot.
struct SavedState {
  FleetState fleet;
  std::string settings_text;
  std::vector<RevisionInfo> history;
  std::vector<SubmissionOutcome> outcomes;
  std::string steering_text;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& fleet& settings_text& history& outcomes& steering_text;
  }
};

const Service* find_service(const Settings& settings, const Endpoint& address) {
  const auto found =
      std::find_if(settings.services.begin(), settings.services.end(),
                   [&](const Service& service) { return service.address == address; });
  return found == settings.services.end() ? nullptr : &*found;
}

/// Sorts services by address, so that equal contents give equal states.
void sort_services(Settings& settings) {
  std::sort(settings.services.begin(), settings.services.end(),
            [](const Service& a, const Service& b) { return a.address < b.address; });
}

FleetDelta settings_delta(const Settings& before, const Settings& after) {
  FleetDelta delta;
  delta.has_settings = true;
  delta.deployment = after.deployment;
  for (const auto& service : after.services) {
    const Service* old = find_service(before, service.address);
    if (old == nullptr || *old != service) {
      delta.upserted_services.push_back(service);
    }
  }
  for (const auto& service : before.services) {
    if (find_service(after, service.address) == nullptr) {
      delta.removed_services.push_back(service.address);
    }
  }
  return delta;
}

}  // namespace

ControlState::ControlState(std::uint32_t partitions) {
  fleet_.partitions = partitions;
  rebuild_derived_state();
}

void ControlState::rebuild_derived_state() {
  tokens_ = TokenIndex(fleet_.steering);
  fleet_digest_ = FleetDigest(fleet_);
  digest_ = fleet_digest_.value(fleet_);
}

void ControlState::apply(const LogEntry& entry) {
  if (entry.type == EntryType::kSettings) {
    if (auto command = decode_archive<SettingsCommand>(entry.payload)) {
      apply_settings(entry.index, std::move(*command));
    }
  } else if (entry.type == EntryType::kMembers) {
    if (const auto command = decode_archive<MembersCommand>(entry.payload)) {
      apply_members(entry.index, *command);
    }
  } else if (entry.type == EntryType::kSteering) {
    if (auto command = decode_archive<SteeringCommand>(entry.payload)) {
      apply_steering(entry.index, std::move(*command));
    }
  } else if (entry.type == EntryType::kRegistrations) {
    if (const auto command = decode_archive<RegistrationCommand>(entry.payload)) {
      apply_registrations(entry.index, *command);
    }
  } else if (entry.type == EntryType::kEvacuation) {
    if (const auto command = decode_archive<EvacuationCommand>(entry.payload)) {
      apply_evacuation(entry.index, *command);
    }
  }
}

void ControlState::apply_steering(LogIndex index, SteeringCommand command) {
  auto change = steering_delta(fleet_.steering, command.settings);
  if (change) {
    steering_text_ = std::move(command.text);
    add_steering_delta(index, std::move(*change));
  }
}

void ControlState::apply_registrations(LogIndex index, const RegistrationCommand& command) {
  auto change = steering_delta(fleet_.steering, command, tokens_);
  if (change) {
    add_steering_delta(index, std::move(*change));
  }
}

void ControlState::apply_evacuation(LogIndex index, const EvacuationCommand& command) {
  auto change = steering_delta(fleet_.steering, command, index);
  if (change) {
    add_steering_delta(index, std::move(*change));
  }
}

void ControlState::add_steering_delta(LogIndex index, SteeringDelta change) {
  FleetDelta delta;
  delta.base = fleet_.revision;
  delta.revision = index;
  delta.steering = std::move(change);
  add_delta(std::move(delta));
}

void ControlState::apply_settings(LogIndex index, SettingsCommand command) {
  if (outcome(command.id)) {
    return;
  }
  SubmissionOutcome result{command.id, false, fleet_.settings_revision, {}};
  if (command.base_revision != fleet_.settings_revision) {
    result.winner = history_.empty() ? SubmissionId{} : history_.back().submission;
    record_outcome(std::move(result));
    return;
  }
  sort_services(command.settings);
  FleetDelta delta = settings_delta(fleet_.settings, command.settings);
  delta.base = fleet_.revision;
  delta.revision = index;
  add_delta(std::move(delta));
  settings_text_ = std::move(command.text);
  history_.push_back({index, command.id, command.author, command.submitted_at_s,
                      XXH3_64bits(settings_text_.data(), settings_text_.size())});
  if (history_.size() > kMaxHistory) {
    history_.erase(history_.begin());
  }
  result.accepted = true;
  result.revision = index;
  result.winner = command.id;
  record_outcome(std::move(result));
}

void ControlState::apply_members(LogIndex index, const MembersCommand& command) {
  FleetDelta delta;
  delta.base = fleet_.revision;
  delta.revision = index;
  delta.members = command;
  add_delta(std::move(delta));
}

void ControlState::add_delta(FleetDelta delta) {
  if (delta.steering) {
    tokens_.apply(fleet_.steering, *delta.steering);
  }
  apply_delta(fleet_, delta, fleet_digest_);
  digest_ = fleet_digest_.value(fleet_);
  deltas_.push_back(std::move(delta));
  if (deltas_.size() > kMaxDeltas) {
    deltas_.pop_front();
  }
}

void ControlState::record_outcome(SubmissionOutcome outcome) {
  outcome_positions_[outcome.id] = evicted_outcomes_ + outcomes_.size();
  outcomes_.push_back(std::move(outcome));
  if (outcomes_.size() > kMaxOutcomes) {
    outcome_positions_.erase(outcomes_.front().id);
    outcomes_.pop_front();
    ++evicted_outcomes_;
  }
}

std::optional<SubmissionOutcome> ControlState::outcome(const SubmissionId& id) const {
  const auto found = outcome_positions_.find(id);
  if (found == outcome_positions_.end()) {
    return std::nullopt;
  }
  return outcomes_[found->second - evicted_outcomes_];
}

const FleetDelta* ControlState::delta_after(Revision revision) const {
  // Each delta is based on the previous one, so the deltas are sorted by base revision.
  const auto found =
      std::lower_bound(deltas_.begin(), deltas_.end(), revision,
                       [](const FleetDelta& delta, Revision base) { return delta.base < base; });
  return found == deltas_.end() || found->base != revision ? nullptr : &*found;
}

Bytes ControlState::save() const {
  SavedState saved{
      fleet_, settings_text_, history_, {outcomes_.begin(), outcomes_.end()}, steering_text_};
  return encode_archive(saved);
}

void ControlState::restore(ByteView bytes) {
  auto saved = decode_archive<SavedState>(bytes);
  if (!saved) {
    return;
  }
  fleet_ = std::move(saved->fleet);
  rebuild_derived_state();
  settings_text_ = std::move(saved->settings_text);
  steering_text_ = std::move(saved->steering_text);
  history_ = std::move(saved->history);
  outcomes_.clear();
  outcome_positions_.clear();
  evicted_outcomes_ = 0;
  deltas_.clear();
  for (auto& outcome : saved->outcomes) {
    record_outcome(std::move(outcome));
  }
}

}  // namespace gorsevalve
