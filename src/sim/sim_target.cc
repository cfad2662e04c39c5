#include "sim/sim_target.h"

namespace gorsevalve {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(2);

}  // namespace

SimTarget::SimTarget(SimContext context, TargetModelConfig config, SimFabric& fabric)
    : SimProcess(context), config_(std::move(config)), fabric_(fabric) {}

void SimTarget::start() {
  save_counters();
  begin_incarnation();
  model_ = std::make_unique<TargetModel>(config_, static_cast<TargetOutput&>(*this), now());
  run_every(kTickInterval, [this] { model_->on_tick(now()); });
}

void SimTarget::kill() { end_incarnation(); }

void SimTarget::save_counters() {
  if (model_ == nullptr) {
    return;
  }
  for (const auto& [id, count] : model_->executions()) {
    past_executions_[id] += count;
  }
  past_requests_ += model_->requests_run();
  past_misrouted_ += model_->misrouted_datagrams();
}

std::optional<TargetReport> SimTarget::report() {
  if (!is_up() || is_paused()) {
    return std::nullopt;
  }
  return model_->report(now());
}

std::map<std::string, std::uint32_t> SimTarget::executions() const {
  std::map<std::string, std::uint32_t> all = past_executions_;
  for (const auto& [id, count] : model_->executions()) {
    all[id] += count;
  }
  return all;
}

std::uint64_t SimTarget::requests_run() const { return past_requests_ + model_->requests_run(); }

std::uint64_t SimTarget::misrouted_datagrams() const {
  return past_misrouted_ + model_->misrouted_datagrams();
}

void SimTarget::handle(const SimMessage& message) {
  if (const auto* datagram = std::get_if<Bytes>(&message.body)) {
    model_->on_datagram(*datagram, now());
  }
}

void SimTarget::send_response(const ProxyHeader& header, ByteView message) {
  if (const auto balancer = fabric_.pick_balancer()) {
    context().network.send_datagram(config_.address, *balancer,
                                    encode_proxy_datagram(header, message), TrafficKind::kData);
  }
}

}  // namespace gorsevalve
