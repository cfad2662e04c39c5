#include "core/balancer/observation_migrator.h"

namespace gorsevalve {

void ObservationMigrator::migrate_from_lost_targets(Instant now) {
  for (Partition* partition : state_.partitions().used()) {
    if (partition->role == PartitionRole::kOwner) {
      migrate_from_lost_targets(*partition, now);
    }
  }
}

bool ObservationMigrator::has_lost_target(const RequestRecord& record) const {
  const ServiceView* service = state_.view()->service(record.flow.service);
  const bool open = record.kind == RequestKind::kObserve && record.state == RequestState::kAnswered;
  if (!open || service == nullptr) {
    return false;
  }
  const TargetState* target = state_.target_table().find(record.target);
  const bool healthy = target == nullptr || target->healthy;
  return !healthy || state_.view()->target(*service, record.target) == nullptr;
}

void ObservationMigrator::migrate_from_lost_targets(Partition& partition, Instant now) {
  std::vector<RequestRecord*> affected;
  for (const auto& [id, record] : partition.store.requests()) {
    if (has_lost_target(*record)) {
      affected.push_back(record);
    }
  }
  sort_by_id(affected);
  for (RequestRecord* record : affected) {
    const ServiceView* service = state_.view()->service(record->flow.service);
    const Target* target = actions_.select_target(*service, record->flow, now, record->target);
    if (target != nullptr) {
      binding_.bind(partition, record->flow, target->address, now);
      actions_.migrate_observation(partition, *record, target->address, now);
    }
  }
}

}  // namespace gorsevalve
