/// gorsevalve-balancer: receives datagrams from the fabric, forwards them to targets and returns
/// responses to clients.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "programs/program.h"
#include "storage/posix_disk.h"
#include "tasks/balancer_task.h"
#include "tasks/http_server.h"
#include "tasks/log.h"
#include "tasks/metrics.h"
#include "tasks/random_number.h"
#include "tasks/target_poller.h"

ABSL_FLAG(std::string, name, "", "name of this balancer in logs and status");
ABSL_FLAG(std::string, zone, "", "zone of this balancer");
ABSL_FLAG(std::string, address, "", "UDP address for datagrams, IP:port");
ABSL_FLAG(std::string, egress, "", "address for datagrams to clients, IP:port");
ABSL_FLAG(std::string, listen, "",
          "address to bind if --address belongs to a port forwarder, IP:port");
ABSL_FLAG(std::string, admin, "", "HTTP address for health and metrics, IP:port");
ABSL_FLAG(std::vector<std::string>, control, {}, "addresses of the control replicas, IP:port,...");
ABSL_FLAG(std::string, cluster, "gorsevalve", "name of the cluster");
ABSL_FLAG(std::string, key_file, "", "file with the cluster's keys, mode 0600");
ABSL_FLAG(std::string, data_folder, "",
          "directory that stores the last fleet state for a restart; may be empty");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");
ABSL_FLAG(std::string, log_file, "", "log file; standard error if empty");

namespace gorsevalve {
namespace {

/// Serves health and metrics and polls targets, on its own thread and event loop.
class AdminTask {
 public:
  AdminTask(EventLoop& main_loop, BalancerTask& balancer)
      : main_loop_(main_loop),
        balancer_(balancer),
        poller_(loop_, [this](const TargetReport& report) {
          main_loop_.post([this, report] { balancer_.on_target_report(report); });
        }) {}

  tl::expected<void, std::string> open(const Endpoint& address) {
    auto server = HttpServer::open(
        loop_, address, [this](HttpServer::RequestNumber number, const HttpRequest& request) {
          on_request(number, request);
        });
    if (!server) {
      return tl::unexpected(server.error());
    }
    server_ = std::move(*server);
    return {};
  }

  void start() {
    loop_.every(TargetPoller::kInterval, [this] {
      main_loop_.post([this] {
        loop_.post([this, targets = balancer_.polled_targets()] { poller_.poll(targets); });
      });
    });
    thread_ = std::thread([this] { loop_.run(); });
  }

  void stop() {
    loop_.stop();
    thread_.join();
  }

 private:
  void on_request(HttpServer::RequestNumber number, const HttpRequest& request) {
    if (request.method != "GET") {
      server_->respond(number, {405, "application/json", R"({"error":"only GET"})"});
      return;
    }
    main_loop_.post([this, number, path = request.path] {
      loop_.post([this, number, path, snapshot = balancer_.status()] {
        server_->respond(number, render(path, snapshot));
      });
    });
  }

  static HttpResponse render(const std::string& path, const BalancerStatus& snapshot) {
    if (path == "/metrics") {
      std::vector<MetricSample> samples = to_samples(snapshot.counters);
      samples.push_back({"gorsevalve_revision",
                         "Applied revision",
                         static_cast<double>(snapshot.revision),
                         false,
                         {}});
      samples.push_back(
          {"gorsevalve_flows", "Flow records", static_cast<double>(snapshot.flows), false, {}});
      samples.push_back({"gorsevalve_requests_held",
                         "Request records",
                         static_cast<double>(snapshot.requests),
                         false,
                         {}});
      samples.push_back({"gorsevalve_messages_refused_total",
                         "Messages rejected as not authentic",
                         static_cast<double>(snapshot.messages_rejected),
                         true,
                         {}});
      samples.push_back({"gorsevalve_zones_evacuated",
                         "Evacuated zones, whose targets get no new work from this balancer",
                         static_cast<double>(snapshot.zones_evacuated),
                         false,
                         {}});
      return {200, "text/plain; version=0.0.4", render_metrics(samples)};
    }
    if (path == "/v1/health" || path == "/v1/status") {
      const nlohmann::json body = {{"revision", snapshot.revision},
                                   {"settled_revision", snapshot.settled_revision},
                                   {"digest", snapshot.digest},
                                   {"flows", snapshot.flows},
                                   {"requests", snapshot.requests}};
      return {200, "application/json", body.dump()};
    }
    return {404, "application/json", R"({"error":"no such path"})"};
  }

  EventLoop& main_loop_;
  BalancerTask& balancer_;
  EventLoop loop_;
  TargetPoller poller_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

BalancerTaskConfig read_config() {
  BalancerTaskConfig config;
  config.self.name = require_value("name", absl::GetFlag(FLAGS_name));
  config.self.zone = require_value("zone", absl::GetFlag(FLAGS_zone));
  config.self.address = require_endpoint("address", absl::GetFlag(FLAGS_address));
  config.self.incarnation = random_number();
  config.egress = require_endpoint("egress", absl::GetFlag(FLAGS_egress));
  config.control = require_endpoints("control", absl::GetFlag(FLAGS_control));
  if (config.control.empty()) {
    std::exit(fail("--control is required", kExitUsage));
  }
  if (const std::string listen = absl::GetFlag(FLAGS_listen); !listen.empty()) {
    config.listen = require_endpoint("listen", listen);
  }
  config.cluster = absl::GetFlag(FLAGS_cluster);
  auto keys = read_key_file(require_value("key_file", absl::GetFlag(FLAGS_key_file)));
  if (!keys) {
    std::exit(fail(keys.error(), kExitUsage));
  }
  config.keys = std::move(*keys);
  return config;
}

int run() {
  BalancerTaskConfig config = read_config();
  if (!init_logging(config.self.name, config.self.zone, absl::GetFlag(FLAGS_log_level),
                    absl::GetFlag(FLAGS_log_file))) {
    return fail("--log_level must be debug, info, warning or error", kExitUsage);
  }
  std::unique_ptr<PosixDisk> disk;
  if (const std::string directory = absl::GetFlag(FLAGS_data_folder); !directory.empty()) {
    auto opened = PosixDisk::open(directory);
    if (!opened) {
      return fail(opened.error().message, kExitFailure);
    }
    disk = std::move(*opened);
  }
  EventLoop loop;
  auto balancer = BalancerTask::open(loop, std::move(config), disk.get());
  if (!balancer) {
    return fail(balancer.error(), kExitFailure);
  }
  AdminTask admin(loop, **balancer);
  const auto opened = admin.open(require_endpoint("admin", absl::GetFlag(FLAGS_admin)));
  if (!opened) {
    return fail(opened.error(), kExitFailure);
  }
  handle_signals(loop, [&] { (*balancer)->leave(); });
  log_event(LogEvent::kStarted);
  admin.start();
  loop.run();
  admin.stop();
  return kExitOk;
}

}  // namespace
}  // namespace gorsevalve

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "gorsevalve-balancer: forwards datagrams from the fabric to targets.\n"
      "Flags can be read from a file: --flagfile=FILE. See docs/programs.md.");
  absl::ParseCommandLine(argc, argv);
  return gorsevalve::run();
}
