/// gorsevalve-control: a replica of the control log.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "programs/control_admin.h"
#include "programs/program.h"
#include "storage/posix_disk.h"
#include "tasks/control_task.h"
#include "tasks/log.h"
#include "tasks/random_number.h"

ABSL_FLAG(std::string, name, "", "name of this replica in logs");
ABSL_FLAG(std::string, zone, "", "zone of this replica");
ABSL_FLAG(std::string, address, "", "TCP address for replicas and balancers, IP:port");
ABSL_FLAG(std::string, listen, "",
          "address to bind if --address belongs to a port forwarder, IP:port");
ABSL_FLAG(std::string, admin, "", "HTTP address of the administration API, IP:port");
ABSL_FLAG(std::vector<std::string>, replicas, {},
          "addresses of all replicas of the cluster, IP:port,...");
ABSL_FLAG(std::string, cluster, "gorsevalve", "name of the cluster");
ABSL_FLAG(std::string, key_file, "", "file with the cluster's keys, mode 0600");
ABSL_FLAG(std::string, token_file, "", "file with the API's tokens, mode 0600");
ABSL_FLAG(std::string, data_folder, "", "directory for this replica's state");
ABSL_FLAG(bool, initialize, false,
          "initialize a new cluster: write the identity of an initial replica into an empty data "
          "directory and exit. Never use this for a replica whose disk was lost.");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");
ABSL_FLAG(std::string, log_file, "", "log file; standard error if empty");

namespace gorsevalve {
namespace {

ControlTaskConfig read_config() {
  ControlTaskConfig config;
  config.address = require_endpoint("address", absl::GetFlag(FLAGS_address));
  config.replicas = require_endpoints("replicas", absl::GetFlag(FLAGS_replicas));
  if (const std::string listen = absl::GetFlag(FLAGS_listen); !listen.empty()) {
    config.listen = require_endpoint("listen", listen);
  }
  config.cluster = absl::GetFlag(FLAGS_cluster);
  config.incarnation = random_number();
  auto keys = read_key_file(require_value("key_file", absl::GetFlag(FLAGS_key_file)));
  if (!keys) {
    std::exit(fail(keys.error(), kExitUsage));
  }
  config.keys = std::move(*keys);
  return config;
}

int run() {
  ControlTaskConfig config = read_config();
  const std::string name = require_value("name", absl::GetFlag(FLAGS_name));
  if (!init_logging(name, absl::GetFlag(FLAGS_zone), absl::GetFlag(FLAGS_log_level),
                    absl::GetFlag(FLAGS_log_file))) {
    return fail("--log_level must be debug, info, warning or error", kExitUsage);
  }
  auto disk = PosixDisk::open(require_value("data_folder", absl::GetFlag(FLAGS_data_folder)));
  if (!disk) {
    return fail(disk.error().message, kExitFailure);
  }
  if (absl::GetFlag(FLAGS_initialize)) {
    const auto initialized = ControlTask::initialize(**disk, config);
    return initialized ? kExitOk : fail(initialized.error().message, kExitFailure);
  }
  auto tokens = read_token_file(require_value("token_file", absl::GetFlag(FLAGS_token_file)));
  if (!tokens) {
    return fail(tokens.error(), kExitUsage);
  }
  EventLoop loop;
  auto control = ControlTask::open(loop, std::move(config), **disk);
  if (!control) {
    return fail(control.error(), kExitFailure);
  }
  ControlAdmin admin(loop, **control, std::move(*tokens));
  const auto opened = admin.open(require_endpoint("admin", absl::GetFlag(FLAGS_admin)));
  if (!opened) {
    return fail(opened.error(), kExitFailure);
  }
  handle_signals(loop, [&loop] { loop.stop(); });
  log_event(LogEvent::kStarted);
  admin.start();
  loop.run();
  admin.stop();
  return (*control)->node().replica().has_failed() ? kExitFailure : kExitOk;
}

}  // namespace
}  // namespace gorsevalve

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "gorsevalve-control: a replica of the control log.\n"
      "Flags can be read from a file: --flagfile=FILE. See docs/programs.md.");
  absl::ParseCommandLine(argc, argv);
  return gorsevalve::run();
}
