/// standin-target: one or more targets, each on its own address, with a health endpoint and a
/// record of executions.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <nlohmann/json.hpp>

#include "programs/program.h"
#include "standins/target_model.h"
#include "tasks/http_server.h"
#include "tasks/udp_socket.h"

ABSL_FLAG(std::vector<std::string>, targets, {}, "NAME@IP:port of each target, ...");
ABSL_FLAG(std::string, ingress, "", "address to which responses are sent, IP:port");
ABSL_FLAG(std::int32_t, health_port, 8080, "port of the health endpoint at each target's IP");
ABSL_FLAG(std::int32_t, service_time_ms, 2, "time to execute one request");
ABSL_FLAG(std::int32_t, feed_interval_ms, 500, "time between notifications of an observation");
ABSL_FLAG(std::int32_t, report_lag_ms, 500, "age of the load report at the health endpoint");
ABSL_FLAG(bool, misleading_report, false, "always report no load");

namespace gorsevalve {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(1);

/// One target with its sockets.
class TargetServer : private TargetOutput {
 public:
  TargetServer(EventLoop& loop, const TargetModelConfig& config, const Endpoint& ingress)
      : loop_(loop), ingress_(ingress), model_(config, *this, monotonic_now()) {}

  bool start() {
    auto socket = UdpSocket::open(loop_, model_.config().address);
    const Endpoint health{model_.config().address.address,
                          static_cast<std::uint16_t>(absl::GetFlag(FLAGS_health_port))};
    auto server = HttpServer::open(
        loop_, health, [this](HttpServer::RequestNumber number, const HttpRequest& request) {
          server_->respond(number, on_request(request));
        });
    if (!socket || !server) {
      fail(!socket ? socket.error() : server.error(), kExitFailure);
      return false;
    }
    socket_ = std::move(*socket);
    server_ = std::move(*server);
    socket_->start([this](ByteView datagram, const Endpoint& /*from*/) {
      model_.on_datagram(datagram, monotonic_now());
    });
    return true;
  }

  void on_tick() {
    model_.on_tick(monotonic_now());
    socket_->flush();
  }

 private:
  void send_response(const ProxyHeader& header, ByteView message) override {
    socket_->send(ingress_, encode_proxy_datagram(header, message));
  }

  HttpResponse on_request(const HttpRequest& request) {
    if (request.path == "/executions") {
      const nlohmann::json body = {{"executions", model_.executions()},
                                   {"foreign", model_.misrouted_datagrams()},
                                   {"requests", model_.requests_run()},
                                   {"feeds", model_.open_observations()},
                                   {"last_new_work_ms_ago", last_new_work_age_ms()}};
      return {200, "application/json", body.dump()};
    }
    const TargetReport report = model_.report(monotonic_now());
    const nlohmann::json body = {{"healthy", report.healthy},
                                 {"connections", report.connections},
                                 {"running", report.running}};
    return {200, "application/json", body.dump()};
  }

  [[nodiscard]] std::int64_t last_new_work_age_ms() const {
    const Duration age = monotonic_now() - model_.last_new_work();
    return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  }

  EventLoop& loop_;
  Endpoint ingress_;
  TargetModel model_;
  std::unique_ptr<UdpSocket> socket_;
  std::unique_ptr<HttpServer> server_;
};

TargetModelConfig read_config(const std::string& text) {
  const std::size_t at = text.find('@');
  if (at == std::string::npos) {
    std::exit(fail("--targets=" + text + ": must be NAME@IP:port", kExitUsage));
  }
  TargetModelConfig config;
  config.name = text.substr(0, at);
  config.address = require_endpoint("targets", text.substr(at + 1));
  config.service_time = std::chrono::milliseconds(absl::GetFlag(FLAGS_service_time_ms));
  config.warm_up_service_time = 3 * config.service_time;
  config.notification_interval = std::chrono::milliseconds(absl::GetFlag(FLAGS_feed_interval_ms));
  config.report_lag = std::chrono::milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
  config.misleading_report = absl::GetFlag(FLAGS_misleading_report);
  return config;
}

int run() {
  const Endpoint ingress = require_endpoint("ingress", absl::GetFlag(FLAGS_ingress));
  EventLoop loop;
  std::vector<std::unique_ptr<TargetServer>> targets;
  for (const auto& text : absl::GetFlag(FLAGS_targets)) {
    targets.push_back(std::make_unique<TargetServer>(loop, read_config(text), ingress));
    if (!targets.back()->start()) {
      return kExitFailure;
    }
  }
  loop.every(kTick, [&targets] {
    for (const auto& target : targets) {
      target->on_tick();
    }
  });
  handle_signals(loop, [&loop] { loop.stop(); });
  loop.run();
  return kExitOk;
}

}  // namespace
}  // namespace gorsevalve

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("standin-target: targets for tests and experiments.");
  absl::ParseCommandLine(argc, argv);
  return gorsevalve::run();
}
