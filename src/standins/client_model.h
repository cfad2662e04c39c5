/// Model of CoAP clients, for the simulator and the test program standin-caller. Each client has
/// its own endpoint, sends one kind of request, and checks that every response matches its request.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "codec/coap.h"
#include "model/flow.h"
#include "model/time.h"

namespace gorsevalve {

enum class ClientKind : std::uint8_t {
  /// Keeps one observation registered (RFC 7641).
  kObserve = 0,
  /// Sends non-idempotent updates.
  kUpdate = 1,
  /// Downloads documents block by block (RFC 7959).
  kDownload = 2,
  /// Requests single values, each on a new flow.
  kLookup = 3,
};

/// Outcome of an update as reported to its client.
enum class UpdateOutcome : std::uint8_t { kUnknown = 0, kDone = 1, kNotRun = 2, kMayHaveRun = 3 };

/// Totals of what clients observed.
struct ClientStats {
  std::uint64_t requests = 0;
  std::uint64_t responses = 0;
  /// Responses whose content doesn't match the request.
  std::uint64_t wrong_responses = 0;
  /// Observations without notifications, and downloads that failed or changed their target.
  std::uint64_t broken_flows = 0;
  std::uint64_t observations = 0;
  std::uint64_t notifications = 0;
  /// Notifications from another target than the one before.
  std::uint64_t observation_moves = 0;
  std::uint64_t downloads = 0;
  std::uint64_t verdicts_not_run = 0;
  std::uint64_t verdicts_may_have_run = 0;
  std::uint64_t timeouts = 0;
  /// Verdicts without a Max-Age that says when to retry.
  std::uint64_t verdicts_without_max_age = 0;
  /// Time from the first transmission to the response.
  std::vector<Duration> latencies;
  std::map<std::string, UpdateOutcome> updates;

  void add(const ClientStats& other);
};

struct ClientConfig {
  ClientKind kind = ClientKind::kLookup;
  FlowKey flow;
  /// Prefix of request ids, unique to this client.
  std::string name;
  std::uint64_t seed = 1;
  /// Time before the first request.
  Duration start_delay{};
  /// Time between the end of one request or download and the next.
  Duration work_interval = std::chrono::milliseconds(200);
  Duration notification_interval = std::chrono::milliseconds(500);
  /// Number of ports, from the flow's client port on, that lookups use in rotation.
  std::uint16_t port_count = 1;
};

class ClientOutput {
 public:
  virtual ~ClientOutput() = default;
  virtual void send(const FlowKey& flow, ByteView message) = 0;
};

/// One client. Retransmits as in RFC 7252, section 4.2.
class ClientModel {
 public:
  ClientModel(ClientConfig config, ClientOutput& output, Instant now);

  void on_message(ByteView message, Instant now);
  void on_tick(Instant now);
  /// Starts no new requests; a broken observation is not registered again.
  void stop() { stopping_ = true; }
  [[nodiscard]] bool is_idle() const;

  [[nodiscard]] const ClientStats& stats() const { return stats_; }
  [[nodiscard]] const ClientConfig& config() const { return config_; }

  /// An observation counts as broken after this many intervals without a notification.
  static constexpr int kSilentIntervals = 8;

 private:
  struct Outstanding {
    std::string id;
    Bytes message;
    CoapToken token;
    std::uint16_t message_id = 0;
    Instant first_sent;
    Instant next_send;
    Duration timeout{};
    int sends = 0;
  };

  void begin_work(Instant now);
  void send_request(std::uint8_t code, std::string_view path, const std::string& id,
                    std::optional<std::uint32_t> observe, std::optional<BlockOption> block,
                    Instant now);
  void on_response(const CoapSummary& summary, const std::string& text, Instant now);
  void on_verdict(const CoapSummary& summary, Instant now);
  void on_notification(const CoapSummary& summary, const std::string& text, Instant now);
  void on_block(const CoapSummary& summary, const std::string& text, Instant now);
  void on_timeout(Instant now);
  void schedule_next_work(Instant now, Duration delay);

  ClientConfig config_;
  ClientOutput& output_;
  ClientStats stats_;
  std::mt19937_64 random_;
  CoapParser parser_;
  std::optional<Outstanding> outstanding_;
  std::uint16_t next_message_id_;
  std::uint32_t next_token_ = 1;
  std::uint32_t next_number_ = 1;
  std::uint16_t first_port_;
  Instant next_work_;
  bool stopping_ = false;
  std::set<std::uint16_t> seen_confirmable_;

  bool observation_open_ = false;
  std::string observation_id_;
  CoapToken observation_token_;
  std::string observation_source_;
  Instant last_notification_;
  std::uint32_t last_observe_ = 0;

  std::string document_;
  std::string document_id_;
  std::uint32_t next_block_ = 0;
};

}  // namespace gorsevalve
