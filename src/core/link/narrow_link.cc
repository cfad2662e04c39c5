#include "core/link/narrow_link.h"

#include <algorithm>

namespace gorsevalve {
namespace {

/// After this time callers give an opening up.
constexpr Duration kOpeningPatience = std::chrono::milliseconds(1400);
/// The same for a flow of a frontend that is not known any more.
constexpr Duration kDefaultPatience = std::chrono::seconds(8);

}  // namespace

PacketPatience NarrowLink::patience(const FrontendView* frontend, bool opens) {
  if (frontend == nullptr) {
    return {kDefaultPatience, Duration::zero()};
  }
  if (opens) {
    return {std::min(frontend->timeout, kOpeningPatience), Duration::zero()};
  }
  const bool is_bulk = frontend->request_class == RequestClass::kUpload;
  return {frontend->timeout, is_bulk ? frontend->latency_objective : Duration::zero()};
}

LinkVerdict NarrowLink::on_packet(const ClientPacket& packet, std::size_t size,
                                  const FrontendView* frontend, Instant now) {
  if (!model_.is_known()) {
    return LinkVerdict::kPass;
  }
  model_.on_received(size, now);
  if (scheduler_.is_needless_copy(packet, now)) {
    // Its caller is still there.
    admission_.on_data(packet.flow, 0, now);
    return LinkVerdict::kNeedlessCopy;
  }
  if (packet.resets) {
    scheduler_.drop_flow(packet.flow);
  }
  if (frontend == nullptr || frontend->request_class != RequestClass::kUpload) {
    return LinkVerdict::kPass;
  }
  if (packet.opens) {
    const bool has_room = admission_.admits(packet.flow, frontend->timeout, now);
    return has_room ? LinkVerdict::kPass : LinkVerdict::kNoRoom;
  }
  admission_.on_data(packet.flow, packet.data_size, now);
  if (packet.closes || packet.resets) {
    admission_.on_end(packet.flow, packet.closes && !packet.resets);
  }
  return LinkVerdict::kPass;
}

void NarrowLink::on_reset(const SteeredFlow& flow, std::size_t size, Instant now) {
  if (model_.is_known()) {
    model_.on_sent(size, now);
    scheduler_.drop_flow(flow);
    admission_.on_end(flow, false);
  }
}

void NarrowLink::on_tick(Instant now) {
  scheduler_.on_tick(now);
  admission_.on_tick(now);
}

}  // namespace gorsevalve
