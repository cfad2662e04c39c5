/// gorsevalve-bench: Google Benchmark suite for the packet path, state and handovers. Counters
/// report memory, messages and bytes. See docs/MEASUREMENTS.md.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <memory>

#include "bench/bench_fleet.h"
#include "codec/envelope.h"
#include "core/control/control_state.h"
#include "storage/log_store.h"
#include "storage/posix_disk.h"

namespace gorsevalve {
namespace {

/// One request and its response on an established flow. Arguments: open flows, targets.
void decision(benchmark::State& state) {
  const auto flows = static_cast<std::uint32_t>(state.range(0));
  const auto targets = static_cast<std::uint32_t>(state.range(1));
  BenchBalancer bench(make_bench_fleet(1, targets));
  bench.open_flows(flows);
  std::uint32_t next = 0;
  for (auto _ : state) {
    bench.exchange(next);
    next = (next + 7919) % flows;
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(decision)->Args({1000, 15})->Args({100000, 15})->Args({500000, 15})->Args({100000, 4200});

/// Memory per flow at its owner, from the statistics of the allocator.
void flow_memory(benchmark::State& state) {
  const auto flows = static_cast<std::uint32_t>(state.range(0));
  double bytes_per_flow = 0;
  for (auto _ : state) {
    BenchBalancer bench(make_bench_fleet(1, 15));
    bench.open_flows(1000);
    const auto before = mallinfo2();
    bench.open_flows(flows);
    const auto after = mallinfo2();
    bytes_per_flow =
        static_cast<double>(after.uordblks + after.hblkhd - before.uordblks - before.hblkhd) /
        (flows - 1000);
  }
  state.counters["octets_per_flow"] = bytes_per_flow;
}
BENCHMARK(flow_memory)->Arg(100000)->Arg(500000)->Iterations(1);

/// Hands all flows of one balancer over to another.
void handover(benchmark::State& state) {
  const auto flows = static_cast<std::uint32_t>(state.range(0));
  for (auto _ : state) {
    state.PauseTiming();
    auto pair = std::make_unique<BenchPair>(flows);
    state.ResumeTiming();
    pair->hand_over();
    state.PauseTiming();
    state.counters["moved"] = static_cast<double>(pair->flows_at_second());
    state.counters["messages"] = static_cast<double>(pair->messages());
    state.counters["octets"] = static_cast<double>(pair->message_bytes());
    pair.reset();
    state.ResumeTiming();
  }
  state.SetItemsProcessed(state.iterations() * flows);
}
BENCHMARK(handover)->Arg(10000)->Arg(100000)->Unit(benchmark::kMillisecond)->Iterations(3);

/// Builds the tables of a revision. Arguments: members, targets, services, partitions.
void fleet_view(benchmark::State& state) {
  const auto members = static_cast<std::uint32_t>(state.range(0));
  const auto targets = static_cast<std::uint32_t>(state.range(1));
  const auto services = static_cast<std::uint32_t>(state.range(2));
  const FleetState fleet =
      make_bench_fleet(members, targets, services, static_cast<std::uint32_t>(state.range(3)));
  for (auto _ : state) {
    FleetView view(fleet);
    benchmark::DoNotOptimize(view.members_revision());
  }
}
BENCHMARK(fleet_view)
    ->Args({6, 19, 2, 256})
    ->Args({750, 4200, 2200, 256})
    ->Args({750, 4200, 2200, 4096})
    ->Unit(benchmark::kMillisecond);

/// Builds the tables after one member joined, reusing unchanged tables.
void fleet_view_next(benchmark::State& state) {
  const FleetState before = make_bench_fleet(749, 4200, 2200, 4096);
  FleetState after = make_bench_fleet(750, 4200, 2200, 4096);
  after.previous_members = before.members;
  const FleetView previous(before);
  for (auto _ : state) {
    FleetView view(after, &previous);
    benchmark::DoNotOptimize(view.members_revision());
  }
}
BENCHMARK(fleet_view_next)->Unit(benchmark::kMillisecond);

/// Builds the tables after one service changed.
void fleet_view_settings(benchmark::State& state) {
  const FleetState before = make_bench_fleet(750, 4200, 2200, 4096);
  FleetState after = before;
  after.settings.services[7].targets[0].weight = 50;
  const FleetView previous(before);
  for (auto _ : state) {
    FleetView view(after, &previous);
    benchmark::DoNotOptimize(view.members_revision());
  }
}
BENCHMARK(fleet_view_settings)->Unit(benchmark::kMillisecond);

/// Appends to the control log with a sync to disk after each entry.
void log_append(benchmark::State& state) {
  const std::string directory =
      (std::filesystem::temp_directory_path() / "gorsevalve-bench-log").string();
  std::filesystem::remove_all(directory);
  auto disk = PosixDisk::open(directory);
  if (!disk) {
    state.SkipWithError("cannot open the directory for the log");
    return;
  }
  LogStore store(**disk);
  (void)store.open();
  LogIndex index = 0;
  for (auto _ : state) {
    LogFrame frame;
    frame.entries.push_back({1, ++index, EntryType::kSettings, Bytes(1000, 1)});
    benchmark::DoNotOptimize(store.append(frame).has_value());
  }
  disk->reset();
  std::filesystem::remove_all(directory);
}
BENCHMARK(log_append)->Unit(benchmark::kMillisecond);

/// Seals a message between balancers and opens it at the receiver.
void envelope(benchmark::State& state) {
  const ClusterKeys keys{{"bench-key-0123456789"}};
  Envelope sender("bench", keys, {1, 1}, 1);
  Envelope receiver("bench", keys, {2, 1}, 2);
  ReplicateRequest request;
  request.changes.requests.emplace_back();
  const PeerMessage message = request;
  for (auto _ : state) {
    const Bytes sealed = sender.seal(message);
    benchmark::DoNotOptimize(receiver.open(sealed).has_value());
  }
}
BENCHMARK(envelope);

/// Replays a log of settings changes, as a replica does after a restart.
void replay(benchmark::State& state) {
  const auto entries = static_cast<LogIndex>(state.range(0));
  const auto targets = static_cast<std::uint32_t>(state.range(1));
  std::vector<LogEntry> log;
  SettingsCommand command;
  command.settings = make_bench_fleet(1, targets, std::max(targets / 2, 1U)).settings;
  for (LogIndex index = 1; index <= entries; ++index) {
    command.id = std::to_string(index);
    command.base_revision = index - 1;
    command.settings.services[0].targets[0].weight = static_cast<std::uint32_t>(index % 100 + 1);
    log.push_back({1, index, EntryType::kSettings, encode_archive(command)});
  }
  for (auto _ : state) {
    ControlState control(kDefaultPartitions);
    for (const auto& entry : log) {
      control.apply(entry);
    }
    benchmark::DoNotOptimize(control.digest());
  }
  state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(entries));
}
BENCHMARK(replay)
    ->Args({100, 19})
    ->Args({1000, 19})
    ->Args({10000, 19})
    ->Args({100, 4200})
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace gorsevalve

BENCHMARK_MAIN();
