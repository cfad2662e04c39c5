#include "core/control/fleet_digest.h"

#include <xxhash.h>

#include <set>

#include "codec/archive.h"
#include "core/control/steering_commands.h"

namespace gorsevalve {
namespace {

/// Hash seed by element type, so that equal bytes of different types have different digests.
enum class ElementKind : std::uint8_t { kService = 1, kFrontend = 2, kTarget = 3 };

template <typename Element>
std::uint64_t element_digest(ElementKind kind, const Element& element) {
  const Bytes bytes = encode_archive(element);
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), static_cast<std::uint64_t>(kind));
}

/// Scalar fields of the fleet state, and the sum of the element digests.
struct ScalarFields {
  Revision revision = 0;
  Revision settings_revision = 0;
  Revision members_revision = 0;
  std::uint32_t members_epoch = 0;
  std::uint32_t partitions = 0;
  std::string deployment;
  OperatorVersion version = 0;
  std::uint32_t idle_timeout_ms = 0;
  std::uint64_t elements = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& settings_revision& members_revision& members_epoch& partitions& deployment&
        version& idle_timeout_ms& elements;
  }
};

}  // namespace

FleetDigest::FleetDigest(const FleetState& fleet) {
  for (const auto& service : fleet.settings.services) {
    element_sum_ += element_digest(ElementKind::kService, service);
  }
  for (const auto& frontend : fleet.steering.settings.frontends) {
    element_sum_ += element_digest(ElementKind::kFrontend, frontend);
  }
  for (const auto& [id, target] : fleet.steering.targets) {
    element_sum_ += element_digest(ElementKind::kTarget, target);
  }
}

void FleetDigest::subtract_replaced(const FleetState& fleet, const FleetDelta& delta) {
  std::set<Endpoint> services(delta.removed_services.begin(), delta.removed_services.end());
  for (const auto& service : delta.upserted_services) {
    services.insert(service.address);
  }
  for (const auto& service : fleet.settings.services) {
    if (services.contains(service.address)) {
      element_sum_ -= element_digest(ElementKind::kService, service);
    }
  }
  if (!delta.steering) {
    return;
  }
  std::set<Endpoint> frontends(delta.steering->removed_frontends.begin(),
                               delta.steering->removed_frontends.end());
  for (const auto& frontend : delta.steering->upserted_frontends) {
    frontends.insert(frontend.address);
  }
  for (const auto& address : frontends) {
    if (const Frontend* before = find_frontend(fleet.steering.settings, address)) {
      element_sum_ -= element_digest(ElementKind::kFrontend, *before);
    }
  }
  std::set<TargetId> targets(delta.steering->removed_targets.begin(),
                             delta.steering->removed_targets.end());
  for (const auto& target : delta.steering->upserted_targets) {
    targets.insert(target.id);
  }
  for (const TargetId id : targets) {
    if (const RegisteredTarget* before = find_target(fleet.steering, id)) {
      element_sum_ -= element_digest(ElementKind::kTarget, *before);
    }
  }
}

void FleetDigest::add_changed(const FleetDelta& delta) {
  for (const auto& service : delta.upserted_services) {
    element_sum_ += element_digest(ElementKind::kService, service);
  }
  if (!delta.steering) {
    return;
  }
  for (const auto& frontend : delta.steering->upserted_frontends) {
    element_sum_ += element_digest(ElementKind::kFrontend, frontend);
  }
  for (const auto& target : delta.steering->upserted_targets) {
    element_sum_ += element_digest(ElementKind::kTarget, target);
  }
}

std::uint64_t FleetDigest::value(const FleetState& fleet) const {
  const ScalarFields remainder{fleet.revision,
                               fleet.settings_revision,
                               fleet.members_revision,
                               fleet.members_epoch,
                               fleet.partitions,
                               fleet.settings.deployment,
                               fleet.steering.settings.version,
                               fleet.steering.settings.idle_timeout_ms,
                               element_sum_};
  Bytes bytes = encode_archive(remainder);
  const auto append = [&bytes](const Bytes& more) {
    bytes.insert(bytes.end(), more.begin(), more.end());
  };
  append(encode_archive(fleet.members));
  append(encode_archive(fleet.previous_members));
  append(encode_archive(fleet.steering.settings.pools));
  append(encode_archive(fleet.steering.evacuated_zones));
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t fleet_digest(const FleetState& fleet) { return FleetDigest(fleet).value(fleet); }

bool apply_delta(FleetState& fleet, const FleetDelta& delta, FleetDigest& digest) {
  if (!is_based_on(fleet, delta)) {
    return false;
  }
  digest.subtract_replaced(fleet, delta);
  digest.add_changed(delta);
  return apply_delta(fleet, delta);
}

}  // namespace gorsevalve
