/// standin-fabric: listens at the service addresses, sprays client datagrams with a PROXY header
/// over the live balancers, returns responses, and injects faults from a seeded generator.
#include <absl/container/flat_hash_map.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "codec/proxy_header.h"
#include "programs/program.h"
#include "settings/settings_file.h"
#include "tasks/http_client.h"
#include "tasks/udp_socket.h"

ABSL_FLAG(std::string, settings, "", "settings file with the service addresses");
ABSL_FLAG(std::string, egress, "", "address to which balancers send datagrams for clients");
ABSL_FLAG(std::string, ingress, "", "address to which targets send responses");
ABSL_FLAG(std::string, platform, "", "HTTP address of the platform's machine list");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of fault injection and spraying");
ABSL_FLAG(double, loss, 0, "share of datagrams lost, 0 to 1");
ABSL_FLAG(double, duplication, 0, "share of datagrams sent twice");
ABSL_FLAG(std::int32_t, delay_ms, 0, "maximum random delay; causes reordering");

namespace gorsevalve {
namespace {

constexpr Duration kMachineListInterval = std::chrono::milliseconds(500);

/// Sends datagrams with injected loss, duplication and delay.
class FaultySender {
 public:
  explicit FaultySender(EventLoop& loop) : loop_(loop), random_(absl::GetFlag(FLAGS_seed)) {}

  void send(UdpSocket& socket, const Endpoint& to, Bytes datagram) {
    if (chance(absl::GetFlag(FLAGS_loss))) {
      return;
    }
    if (chance(absl::GetFlag(FLAGS_duplication))) {
      deliver(socket, to, datagram);
    }
    deliver(socket, to, std::move(datagram));
  }

  std::mt19937_64& random() { return random_; }

 private:
  bool chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  void deliver(UdpSocket& socket, const Endpoint& to, Bytes datagram) {
    const std::int32_t max_delay_ms = absl::GetFlag(FLAGS_delay_ms);
    if (max_delay_ms == 0) {
      socket.send(to, datagram);
      return;
    }
    const auto delay = std::uniform_int_distribution<std::int32_t>(0, max_delay_ms)(random_);
    loop_.after(std::chrono::milliseconds(delay), [&socket, to, delayed = std::move(datagram)] {
      socket.send(to, delayed);
      socket.flush();
    });
  }

  EventLoop& loop_;
  std::mt19937_64 random_;
};

class Fabric {
 public:
  explicit Fabric(EventLoop& loop)
      : loop_(loop), sender_(loop), client_(loop, std::chrono::seconds(1)) {}

  bool start(const Settings& settings) {
    for (const auto& service : settings.services) {
      if (!open(service.address, service_sockets_[service.address],
                [this, service](ByteView datagram, const Endpoint& from) {
                  on_client_datagram({from, service.address}, datagram);
                })) {
        return false;
      }
    }
    const Endpoint egress = require_endpoint("egress", absl::GetFlag(FLAGS_egress));
    const Endpoint ingress = require_endpoint("ingress", absl::GetFlag(FLAGS_ingress));
    const bool opened =
        open(egress, egress_,
             [this](ByteView datagram, const Endpoint&) { on_egress(datagram); }) &&
        open(ingress, ingress_, [this](ByteView datagram, const Endpoint&) { spray(datagram); });
    platform_address_ = require_endpoint("platform", absl::GetFlag(FLAGS_platform));
    loop_.every(kMachineListInterval, [this] { fetch_machine_list(); });
    fetch_machine_list();
    return opened;
  }

 private:
  bool open(const Endpoint& address, std::unique_ptr<UdpSocket>& socket,
            UdpSocket::Receiver receiver) {
    auto opened = UdpSocket::open(loop_, address);
    if (!opened) {
      fail(opened.error(), kExitFailure);
      return false;
    }
    socket = std::move(*opened);
    socket->start(std::move(receiver), [this] { ingress_->flush(); });
    return true;
  }

  void on_client_datagram(const FlowKey& flow, ByteView datagram) {
    spray(encode_proxy_datagram({flow, {}, {}, {}}, datagram));
  }

  void spray(ByteView datagram) {
    if (balancers_.empty()) {
      return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, balancers_.size() - 1);
    sender_.send(*ingress_, balancers_[pick(sender_.random())],
                 Bytes(datagram.begin(), datagram.end()));
  }

  void on_egress(ByteView datagram) {
    const auto decoded = decode_proxy_datagram(datagram);
    if (!decoded) {
      return;
    }
    const auto socket = service_sockets_.find(decoded->header.flow.service);
    if (socket != service_sockets_.end()) {
      sender_.send(*socket->second, decoded->header.flow.client,
                   Bytes(decoded->payload.begin(), decoded->payload.end()));
      socket->second->flush();
    }
  }

  void fetch_machine_list() {
    client_.send(
        {"GET", platform_address_, "/machines", "", ""}, [this](HttpClient::Result result) {
          const auto list =
              result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
          if (!list.is_object()) {
            return;
          }
          std::vector<Endpoint> live;
          for (const auto& address : list.value("live", nlohmann::json::array())) {
            if (const auto endpoint = parse_endpoint(address.get<std::string>())) {
              live.push_back(*endpoint);
            }
          }
          balancers_ = live;
        });
  }

  EventLoop& loop_;
  FaultySender sender_;
  HttpClient client_;
  Endpoint platform_address_;
  std::map<Endpoint, std::unique_ptr<UdpSocket>> service_sockets_;
  std::unique_ptr<UdpSocket> egress_;
  std::unique_ptr<UdpSocket> ingress_;
  std::vector<Endpoint> balancers_;
};

int run() {
  const std::string path = require_value("settings", absl::GetFlag(FLAGS_settings));
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  const auto settings = parse_settings(text.str(), path);
  if (!settings) {
    return fail(to_string(settings.error().front()), kExitRejected);
  }
  EventLoop loop;
  Fabric fabric(loop);
  if (!fabric.start(*settings)) {
    return kExitFailure;
  }
  handle_signals(loop, [&loop] { loop.stop(); });
  loop.run();
  return kExitOk;
}

}  // namespace
}  // namespace gorsevalve

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("standin-fabric: sprays client datagrams over the balancers.");
  absl::ParseCommandLine(argc, argv);
  return gorsevalve::run();
}
