/// gorsevalve-relay-bench: compares the datagram rate of a relaying balancer with that of a plain
/// recvmmsg/sendmmsg loop, in alternating rounds. Prints the ratio.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <thread>

#include "bench/bench_fleet.h"
#include "programs/program.h"
#include "storage/log_store.h"
#include "storage/posix_disk.h"
#include "tasks/balancer_task.h"
#include "tasks/socket_address.h"

ABSL_FLAG(std::int32_t, rounds, 7, "number of rounds of each");
ABSL_FLAG(std::int32_t, round_ms, 500, "length of a round, in milliseconds");

namespace gorsevalve {
namespace {

constexpr Endpoint kRelay{0x7F3C0001, 6000};
constexpr Endpoint kPlainForwarder{0x7F3C0002, 6000};
constexpr Endpoint kSink{0x7F3C0003, 6000};
constexpr std::size_t kBatch = 32;
constexpr std::size_t kDatagramSize = 128;
/// Maximum number of datagrams in flight.
constexpr std::uint64_t kWindow = 256;

int open_socket(const Endpoint& address) {
  const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const int size = 4 << 20;
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  const timeval timeout{0, 20000};
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in raw = to_sockaddr(address);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0) {
    std::exit(fail("cannot bind " + to_string(address), kExitFailure));
  }
  return descriptor;
}

/// Buffers of one batch.
struct Batch {
  std::array<std::array<std::uint8_t, 2048>, kBatch> data{};
  std::array<iovec, kBatch> parts{};
  std::array<mmsghdr, kBatch> headers{};
  sockaddr_in to{};

  void prepare(std::size_t size, bool has_destination) {
    for (std::size_t i = 0; i < kBatch; ++i) {
      parts[i] = {data[i].data(), size};
      headers[i] = {};
      headers[i].msg_hdr.msg_iov = &parts[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      if (has_destination) {
        headers[i].msg_hdr.msg_name = &to;
        headers[i].msg_hdr.msg_namelen = sizeof(to);
      }
    }
  }
};

/// Forwards datagrams unchanged to the sink.
void run_plain_forwarder(std::atomic<bool>& running) {
  const int descriptor = open_socket(kPlainForwarder);
  Batch batch;
  batch.to = to_sockaddr(kSink);
  while (running) {
    batch.prepare(2048, false);
    const int count = ::recvmmsg(descriptor, batch.headers.data(), kBatch, MSG_WAITFORONE, nullptr);
    if (count <= 0) {
      continue;
    }
    std::array<std::size_t, kBatch> sizes{};
    for (int i = 0; i < count; ++i) {
      sizes[static_cast<std::size_t>(i)] = batch.headers[static_cast<std::size_t>(i)].msg_len;
    }
    batch.prepare(0, true);
    for (int i = 0; i < count; ++i) {
      batch.parts[static_cast<std::size_t>(i)].iov_len = sizes[static_cast<std::size_t>(i)];
    }
    ::sendmmsg(descriptor, batch.headers.data(), static_cast<unsigned>(count), 0);
  }
  ::close(descriptor);
}

/// A fleet in which the relay owns no partition, so it relays all datagrams to the sink.
FleetState relay_fleet() {
  FleetState fleet = make_bench_fleet(2, 15);
  fleet.members[0].address = kRelay;
  fleet.members[0].state = MemberState::kLeaving;
  fleet.members[1].address = kSink;
  fleet.previous_members = fleet.members;
  return fleet;
}

/// Sends with a bounded number of datagrams in flight and counts arrivals at the sink.
class Generator {
 public:
  Generator() : sink_(open_socket(kSink)), source_(open_socket({0x7F3C0004, 6000})) {}

  double datagrams_per_second(const Endpoint& through) {
    drain();
    Batch out;
    fill(out, through);
    Batch in;
    std::uint64_t sent = 0;
    std::uint64_t arrived = 0;
    const auto start = std::chrono::steady_clock::now();
    const auto end = start + std::chrono::milliseconds(absl::GetFlag(FLAGS_round_ms));
    while (std::chrono::steady_clock::now() < end) {
      while (sent - arrived + kBatch <= kWindow) {
        sent += static_cast<std::uint64_t>(
            std::max(::sendmmsg(source_, out.headers.data(), kBatch, 0), 0));
      }
      in.prepare(2048, false);
      const int count = ::recvmmsg(sink_, in.headers.data(), kBatch, MSG_WAITFORONE, nullptr);
      if (count <= 0) {
        sent = arrived;  // the missing datagrams are lost
      } else {
        arrived += static_cast<std::uint64_t>(count);
      }
    }
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
    return static_cast<double>(arrived) / time.count();
  }

 private:
  void drain() {
    Batch in;
    in.prepare(2048, false);
    while (::recvmmsg(sink_, in.headers.data(), kBatch, MSG_WAITFORONE, nullptr) > 0) {
      in.prepare(2048, false);
    }
  }

  static void fill(Batch& out, const Endpoint& through) {
    out.to = to_sockaddr(through);
    out.prepare(kDatagramSize, true);
    const Endpoint service = make_bench_fleet(1, 1).settings.services[0].address;
    for (std::size_t i = 0; i < kBatch; ++i) {
      const FlowKey flow{{0x0B000000 + static_cast<std::uint32_t>(i), 40000}, service};
      encode_proxy_header({flow, {}, {}, {}}, out.data[i].data());
    }
  }

  int sink_;
  int source_;
};

int run() {
  const std::filesystem::path directory =
      std::filesystem::temp_directory_path() / ("gorsevalve-bench-" + std::to_string(getpid()));
  auto disk = PosixDisk::open(directory.string());
  if (!disk || !(*disk)->replace("fleet", encode_frame(encode_archive(relay_fleet())))) {
    return fail("cannot store the fleet state in the temporary directory", kExitFailure);
  }
  EventLoop loop;
  BalancerTaskConfig config;
  config.self = relay_fleet().members[0];
  config.egress = kSink;
  config.cluster = "bench";
  config.keys = {{"bench-key-0123456789"}};
  auto task = BalancerTask::open(loop, config, disk->get());
  if (!task) {
    return fail(task.error(), kExitFailure);
  }
  std::atomic<bool> running{true};
  std::thread plain_forwarder([&] { run_plain_forwarder(running); });
  std::thread relay([&] { loop.run(); });
  Generator generator;
  std::vector<double> ratios;
  for (int i = 0; i < absl::GetFlag(FLAGS_rounds); ++i) {
    const double plain = generator.datagrams_per_second(kPlainForwarder);
    const double relayed = generator.datagrams_per_second(kRelay);
    ratios.push_back(relayed / plain);
    std::printf("round %d: plain %.0f/s, relay %.0f/s, ratio %.2f\n", i + 1, plain, relayed,
                relayed / plain);
  }
  std::sort(ratios.begin(), ratios.end());
  std::printf("ratio: median %.2f, minimum %.2f, maximum %.2f\n", ratios[ratios.size() / 2],
              ratios.front(), ratios.back());
  running = false;
  plain_forwarder.join();
  loop.stop();
  relay.join();
  std::filesystem::remove_all(directory);
  return kExitOk;
}

}  // namespace
}  // namespace gorsevalve

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "gorsevalve-relay-bench: compares a relaying balancer with a plain loop.");
  absl::ParseCommandLine(argc, argv);
  return gorsevalve::run();
}
