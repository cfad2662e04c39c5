/// Traffic control for the low-bandwidth link of a balancer: link model, packet scheduling, and
/// admission of bulk flows. On a link of unknown rate every packet is forwarded at once.
#pragma once

#include "core/link/bulk_admission.h"
#include "core/link/link_model.h"
#include "core/link/link_scheduler.h"
#include "core/steering/steering_view.h"

namespace gorsevalve {

/// What to do with a packet of a client, decided before a target is selected.
enum class LinkDecision : std::uint8_t {
  kForward = 0,
  /// A redundant retransmission: the original is queued, or its acknowledgement may be in flight.
  kDropRetransmission = 1,
  /// The opening packet of a bulk flow that could not finish in time: reject the flow at once.
  kReject = 2,
};

class LinkShaper {
 public:
  /// `bytes_per_s` is the link's rate in each direction; 0 when it is unknown.
  explicit LinkShaper(double bytes_per_s) : model_(bytes_per_s) {}
  LinkShaper(const LinkShaper&) = delete;
  LinkShaper& operator=(const LinkShaper&) = delete;

  /// Handles a packet received from a client; `frontend` is nullptr when it is no longer known.
  LinkDecision on_packet(const ClientPacket& packet, std::size_t size, const FrontendView* frontend,
                         Instant now);
  /// Records that the client was notified of the end of its flow by a datagram of `size`
  /// bytes.
  void on_reset(const SteeredFlow& flow, std::size_t size, Instant now);
  void on_tick(Instant now);

  /// Time limits of a packet from a client of `frontend`; `opens` is true for an opening packet.
  [[nodiscard]] static PacketDeadlines packet_deadlines(const FrontendView* frontend, bool opens);

  [[nodiscard]] LinkScheduler& scheduler() { return scheduler_; }
  [[nodiscard]] const LinkScheduler& scheduler() const { return scheduler_; }
  [[nodiscard]] const LinkModel& model() const { return model_; }
  [[nodiscard]] const BulkAdmission& admission() const { return admission_; }

 private:
  LinkModel model_;
  LinkScheduler scheduler_{model_};
  BulkAdmission admission_{model_};
};

}  // namespace gorsevalve
