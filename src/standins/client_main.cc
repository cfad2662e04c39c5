/// standin-caller: runs many clients against one service, checks every response, and prints the
/// totals as one JSON object.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "programs/program.h"
#include "standins/client_model.h"
#include "tasks/udp_socket.h"

ABSL_FLAG(std::string, service, "", "address of the service, IP:port");
ABSL_FLAG(std::string, source, "127.200.0.1", "IP of the clients; --port gives the ports");
ABSL_FLAG(std::int32_t, port, 20000, "first client port");
ABSL_FLAG(std::string, name, "caller", "prefix of the request ids");
ABSL_FLAG(std::int32_t, feeds, 0, "clients that keep an observation open");
ABSL_FLAG(std::int32_t, updates, 0, "clients that send updates");
ABSL_FLAG(std::int32_t, downloads, 0, "clients that download documents");
ABSL_FLAG(std::int32_t, lookups, 0, "clients that request single values");
ABSL_FLAG(std::int32_t, seconds, 10, "time during which new requests are started, in seconds");
ABSL_FLAG(std::int32_t, pause_ms, 200, "time between two requests of one client");
ABSL_FLAG(std::int32_t, feed_interval_ms, 500, "expected time between notifications");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of tokens and timeouts");

namespace gorsevalve {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
/// Time for outstanding requests to complete after the last one was started.
constexpr Duration kFinish = std::chrono::seconds(8);

/// One client with its socket.
class ClientSocket : private ClientOutput {
 public:
  ClientSocket(EventLoop& loop, const ClientConfig& config)
      : loop_(loop), model_(config, *this, monotonic_now()) {}

  bool start() {
    auto socket = UdpSocket::open(loop_, model_.config().flow.client);
    if (!socket) {
      fail(socket.error(), kExitFailure);
      return false;
    }
    socket_ = std::move(*socket);
    socket_->start([this](ByteView datagram, const Endpoint& from) {
      if (from == model_.config().flow.service) {
        model_.on_message(datagram, monotonic_now());
      }
    });
    return true;
  }

  ClientModel& model() { return model_; }

 private:
  void send(const FlowKey& flow, ByteView message) override {
    socket_->send(flow.service, message);
    socket_->flush();
  }

  EventLoop& loop_;
  ClientModel model_;
  std::unique_ptr<UdpSocket> socket_;
};

class ClientFleet {
 public:
  explicit ClientFleet(EventLoop& loop) : loop_(loop) {
    const std::string source = absl::GetFlag(FLAGS_source);
    const std::int32_t port = absl::GetFlag(FLAGS_port);
    next_address_ = require_endpoint("source", source + ":" + std::to_string(port));
  }

  bool add(ClientKind kind, int count) {
    const Endpoint service = require_endpoint("service", absl::GetFlag(FLAGS_service));
    for (int i = 0; i < count; ++i) {
      ClientConfig config;
      config.kind = kind;
      config.flow = {next_address_, service};
      config.name = absl::GetFlag(FLAGS_name) + std::to_string(next_address_.port);
      config.seed = absl::GetFlag(FLAGS_seed) * 1000003 + next_address_.port;
      config.work_interval = std::chrono::milliseconds(absl::GetFlag(FLAGS_pause_ms));
      config.notification_interval =
          std::chrono::milliseconds(absl::GetFlag(FLAGS_feed_interval_ms));
      ++next_address_.port;
      clients_.push_back(std::make_unique<ClientSocket>(loop_, config));
      if (!clients_.back()->start()) {
        return false;
      }
    }
    return true;
  }

  void on_tick() {
    const Instant now = monotonic_now();
    for (const auto& client : clients_) {
      client->model().on_tick(now);
    }
  }

  void stop() {
    for (const auto& client : clients_) {
      client->model().stop();
    }
  }

  [[nodiscard]] bool is_idle() const {
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const auto& client) { return client->model().is_idle(); });
  }

  [[nodiscard]] ClientStats stats() const {
    ClientStats total;
    for (const auto& client : clients_) {
      total.add(client->model().stats());
    }
    return total;
  }

 private:
  EventLoop& loop_;
  Endpoint next_address_;
  std::vector<std::unique_ptr<ClientSocket>> clients_;
};

double quantile_ms(std::vector<Duration>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
  return std::chrono::duration<double, std::milli>(sorted[index]).count();
}

void print(ClientStats stats) {
  std::sort(stats.latencies.begin(), stats.latencies.end());
  nlohmann::json updates = nlohmann::json::object();
  for (const auto& [id, outcome] : stats.updates) {
    updates[id] = static_cast<int>(outcome);
  }
  const nlohmann::json body = {{"requests", stats.requests},
                               {"answers", stats.responses},
                               {"wrong_answers", stats.wrong_responses},
                               {"broken_flows", stats.broken_flows},
                               {"feeds", stats.observations},
                               {"notifications", stats.notifications},
                               {"feed_moves", stats.observation_moves},
                               {"downloads", stats.downloads},
                               {"verdicts_not_run", stats.verdicts_not_run},
                               {"verdicts_may_have_run", stats.verdicts_may_have_run},
                               {"verdicts_without_time", stats.verdicts_without_max_age},
                               {"timeouts", stats.timeouts},
                               {"latency_p50_ms", quantile_ms(stats.latencies, 0.5)},
                               {"latency_p99_ms", quantile_ms(stats.latencies, 0.99)},
                               {"updates", updates}};
  std::printf("%s\n", body.dump().c_str());
}

int run() {
  EventLoop loop;
  ClientFleet fleet(loop);
  const bool started = fleet.add(ClientKind::kObserve, absl::GetFlag(FLAGS_feeds)) &&
                       fleet.add(ClientKind::kUpdate, absl::GetFlag(FLAGS_updates)) &&
                       fleet.add(ClientKind::kDownload, absl::GetFlag(FLAGS_downloads)) &&
                       fleet.add(ClientKind::kLookup, absl::GetFlag(FLAGS_lookups));
  if (!started) {
    return kExitFailure;
  }
  const Instant stop_at = monotonic_now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  loop.every(kTick, [&] {
    const Instant now = monotonic_now();
    if (now >= stop_at) {
      fleet.stop();
    }
    fleet.on_tick();
    if (now >= stop_at && (fleet.is_idle() || now >= stop_at + kFinish)) {
      loop.stop();
    }
  });
  handle_signals(loop, [&loop] { loop.stop(); });
  loop.run();
  print(fleet.stats());
  return kExitOk;
}

}  // namespace
}  // namespace gorsevalve

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("standin-caller: clients for tests and experiments.");
  absl::ParseCommandLine(argc, argv);
  return gorsevalve::run();
}
