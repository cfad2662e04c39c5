#include "core/link/link_shaper.h"

#include <algorithm>

namespace gorsevalve {
namespace {

/// Time after which clients no longer wait for the reply to an opening packet.
constexpr Duration kOpeningTimeout = std::chrono::milliseconds(1400);
/// Client timeout for a flow whose frontend is no longer known.
constexpr Duration kDefaultTimeout = std::chrono::seconds(8);

}  // namespace

PacketDeadlines LinkShaper::packet_deadlines(const FrontendView* frontend, bool opens) {
  if (frontend == nullptr) {
    return {kDefaultTimeout, Duration::zero()};
  }
  if (opens) {
    return {std::min(frontend->timeout, kOpeningTimeout), Duration::zero()};
  }
  const bool is_bulk = frontend->request_class == RequestClass::kUpload;
  return {frontend->timeout, is_bulk ? frontend->latency_objective : Duration::zero()};
}

LinkDecision LinkShaper::on_packet(const ClientPacket& packet, std::size_t size,
                                   const FrontendView* frontend, Instant now) {
  if (!model_.is_rate_known()) {
    return LinkDecision::kForward;
  }
  model_.on_received(size, now);
  if (scheduler_.is_redundant_retransmission(packet, now)) {
    // A retransmission shows that the client is still active.
    admission_.on_data(packet.flow, 0, now);
    return LinkDecision::kDropRetransmission;
  }
  if (packet.resets) {
    scheduler_.drop_flow(packet.flow);
  }
  if (frontend == nullptr || frontend->request_class != RequestClass::kUpload) {
    return LinkDecision::kForward;
  }
  if (packet.opens) {
    const bool is_admitted = admission_.try_admit(packet.flow, frontend->timeout, now);
    return is_admitted ? LinkDecision::kForward : LinkDecision::kReject;
  }
  admission_.on_data(packet.flow, packet.data_size, now);
  if (packet.closes || packet.resets) {
    admission_.on_flow_end(packet.flow, packet.closes && !packet.resets);
  }
  return LinkDecision::kForward;
}

void LinkShaper::on_reset(const SteeredFlow& flow, std::size_t size, Instant now) {
  if (model_.is_rate_known()) {
    model_.on_sent(size, now);
    scheduler_.drop_flow(flow);
    admission_.on_flow_end(flow, false);
  }
}

void LinkShaper::on_tick(Instant now) {
  scheduler_.on_tick(now);
  admission_.on_tick(now);
}

}  // namespace gorsevalve
