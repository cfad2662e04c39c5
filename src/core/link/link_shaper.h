/// What a balancer does about a narrow link of its machine, as one piece: the model of the link,
/// the order in which packets leave, and which bulk flows may open. On a link of unknown rate
/// everything passes at once.
#pragma once

#include "core/link/bulk_admission.h"
#include "core/link/link_model.h"
#include "core/link/link_scheduler.h"
#include "core/steering/steering_view.h"

namespace gorsevalve {

/// What is to become of a packet that came from a caller, before its target is looked for.
enum class LinkDecision : std::uint8_t {
  kForward = 0,
  /// A copy of a packet that waits, or whose acknowledgement may be on its way: to be dropped.
  kDropRetransmission = 1,
  /// The opening of a bulk flow that cannot land in time here: to be refused at once.
  kReject = 2,
};

class LinkShaper {
 public:
  /// `octets_per_s` is the link's rate each way; 0 when it is not known.
  explicit LinkShaper(double octets_per_s) : model_(octets_per_s) {}
  LinkShaper(const LinkShaper&) = delete;
  LinkShaper& operator=(const LinkShaper&) = delete;

  /// A packet of a caller came; `frontend` may be nullptr.
  LinkDecision on_packet(const ClientPacket& packet, std::size_t size, const FrontendView* frontend,
                         Instant now);
  /// The caller was told that its flow has ended, by a datagram of `size` octets.
  void on_reset(const SteeredFlow& flow, std::size_t size, Instant now);
  void on_tick(Instant now);

  /// How long callers of a frontend wait for what they send now.
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
