#include "core/link/narrow_link.h"

#include <algorithm>

namespace gorsevalve {
namespace {

/// After this time callers give an opening up.
constexpr Duration kOpeningPatience = std::chrono::milliseconds(1400);
/// The same for a flow of a frontend that is not known any more.
constexpr Duration kDefaultPatience = std::chrono::seconds(8);

LinkVerdict to_link_verdict(AdmissionVerdict verdict) {
  switch (verdict) {
    case AdmissionVerdict::kAdmitted:
      return LinkVerdict::kPass;
    case AdmissionVerdict::kWaits:
      return LinkVerdict::kWaitsForRoom;
    case AdmissionVerdict::kRefused:
      return LinkVerdict::kNoRoom;
  }
  return LinkVerdict::kPass;
}

}  // namespace

Duration NarrowLink::patience(const FrontendView* frontend, bool opens) {
  const Duration timeout = frontend == nullptr ? kDefaultPatience : frontend->timeout;
  return opens ? std::min(timeout, kOpeningPatience) : timeout;
}

LinkVerdict NarrowLink::on_packet(const CallerPacket& packet, std::size_t size,
                                  const FrontendView* frontend, Instant now) {
  if (!model_.is_known()) {
    return LinkVerdict::kPass;
  }
  model_.on_received(size, now);
  if (scheduler_.is_needless_copy(packet, now)) {
    return LinkVerdict::kNeedlessCopy;
  }
  if (packet.resets) {
    scheduler_.drop_flow(packet.flow);
  }
  if (frontend == nullptr || frontend->request_class != RequestClass::kUpload) {
    return LinkVerdict::kPass;
  }
  if (packet.opens) {
    return to_link_verdict(
        admission_.judge(packet.flow, packet.copies_before, frontend->latency_objective, now));
  }
  admission_.on_data(packet.flow, packet.data_size, now);
  if (packet.closes || packet.resets) {
    admission_.on_end(packet.flow);
  }
  return LinkVerdict::kPass;
}

void NarrowLink::on_reset(const SteeredFlow& flow) {
  if (model_.is_known()) {
    scheduler_.drop_flow(flow);
    admission_.on_end(flow);
  }
}

void NarrowLink::on_tick(Instant now) {
  scheduler_.on_tick(now);
  admission_.on_tick(now);
}

}  // namespace gorsevalve
