/// Model of a target, for the simulator and the test program standin-target: a CoAP server behind
/// PROXY headers with slots, a bounded queue, observations, downloads, non-idempotent updates,
/// warm-up, load shedding and cancellation. Counts executions by the client's request id.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <string>

#include "codec/coap.h"
#include "codec/proxy_header.h"
#include "core/balancer/partition_store.h"
#include "core/balancer/target_table.h"
#include "model/time.h"

namespace gorsevalve {

/// Resources of every target.
namespace target_path {
/// GET with Observe: an observation. The query "id=X" names it.
constexpr std::string_view kFeed = "/feed";
/// POST: runs a non-idempotent update. The query "id=X" names it.
constexpr std::string_view kUpdate = "/update";
/// GET: a document of kDownloadSize bytes in blocks, generated from the query "id=X".
constexpr std::string_view kDownload = "/download";
/// GET: returns the id of the query "id=X".
constexpr std::string_view kLookup = "/lookup";
}  // namespace target_path

constexpr std::size_t kDownloadSize = 4096;
constexpr std::uint8_t kDownloadBlockExponent = 4;  // 2^(4+4) = 256 bytes
constexpr std::size_t kDownloadBlockSize = 256;

/// Content of the document with an id.
std::string download_content(const std::string& id);

struct TargetModelConfig {
  std::string name;
  Endpoint address;
  std::uint32_t slots = 2;
  std::uint32_t max_connections = 2000;
  std::uint32_t queue_limit = 16;
  Duration service_time = std::chrono::milliseconds(2);
  /// Service time at the start; falls linearly to service_time within warm_up_time.
  Duration warm_up_service_time = std::chrono::milliseconds(6);
  Duration warm_up_time = std::chrono::seconds(5);
  Duration notification_interval = std::chrono::milliseconds(500);
  /// Age of the load report at the health endpoint.
  Duration report_lag = std::chrono::milliseconds(500);
  /// The health endpoint always reports no load.
  bool misleading_report = false;
};

class TargetOutput {
 public:
  virtual ~TargetOutput() = default;
  /// Sends a response to the balancers. The header contains flow, request id and target.
  virtual void send_response(const ProxyHeader& header, ByteView message) = 0;
};

class TargetModel {
 public:
  TargetModel(TargetModelConfig config, TargetOutput& output, Instant now);

  void on_datagram(ByteView datagram, Instant now);
  /// Call every few milliseconds.
  void on_tick(Instant now);

  /// Current response of the health endpoint.
  [[nodiscard]] TargetReport report(Instant now);

  /// Number of executions by update id.
  [[nodiscard]] const std::map<std::string, std::uint32_t>& executions() const {
    return executions_;
  }
  /// Datagrams for another service than that of the first datagram.
  [[nodiscard]] std::uint64_t misrouted_datagrams() const { return misrouted_datagrams_; }
  /// Requests executed since the start.
  [[nodiscard]] std::uint64_t requests_run() const { return requests_run_; }
  /// Requests not executed because they were cancelled or past their deadline.
  [[nodiscard]] std::uint64_t requests_dropped() const { return requests_dropped_; }
  /// Arrival time of the last request that does not continue a download.
  [[nodiscard]] Instant last_new_work() const { return last_new_work_; }
  [[nodiscard]] std::size_t open_observations() const { return observations_.size(); }
  [[nodiscard]] const TargetModelConfig& config() const { return config_; }

 private:
  struct Job {
    ProxyHeader header;
    Bytes message;
    Instant started;
    /// The job is dropped if it has not started by then: the client has timed out.
    std::optional<Instant> deadline;
    bool cancelled = false;
  };
  struct Observation {
    ProxyHeader header;
    CoapToken token;
    std::string id;
    std::uint32_t sequence = 0;
    Instant next_at;
    std::uint16_t last_message_id = 0;
    std::uint32_t unacknowledged = 0;
  };

  void on_empty(const ProxyHeader& header, const CoapSummary& summary);
  void on_request(const ProxyHeader& header, const CoapSummary& summary, ByteView message,
                  Instant now);
  /// Cache entry for the response to a message. Evicts the oldest entry of a full cache.
  Bytes& cached_response(const MessageKey& key);
  void start_jobs(Instant now);
  void finish(const Job& job, Instant now);
  void respond(const ProxyHeader& header, const Bytes& message);
  void run_observe(const Job& job, const CoapSummary& summary, const std::string& id, Instant now);
  void notify(Observation& observation, CoapType type, std::uint16_t message_id, Instant now);
  Bytes run_download(const FlowKey& flow, const CoapSummary& summary, const std::string& id);
  [[nodiscard]] std::string query_id() const;
  [[nodiscard]] Duration service_time(Instant now) const;

  TargetModelConfig config_;
  TargetOutput& output_;
  Instant started_;
  CoapParser parser_;
  std::deque<Job> running_;
  std::deque<Job> queued_;
  std::map<std::string, std::uint32_t> executions_;
  /// Document being downloaded by each flow. Blocks of another document are rejected, which detects
  /// a download that was split between targets.
  std::map<FlowKey, std::string> downloads_;
  absl::btree_map<TokenKey, Observation> observations_;
  /// Responses by message id, for duplicates (RFC 7252, section 4.5).
  absl::flat_hash_map<MessageKey, Bytes> cached_responses_;
  std::deque<MessageKey> cached_response_order_;
  std::uint16_t next_message_id_ = 1;
  std::optional<Endpoint> service_;
  std::uint64_t misrouted_datagrams_ = 0;
  std::uint64_t requests_run_ = 0;
  std::uint64_t requests_dropped_ = 0;
  Instant last_new_work_;
  std::deque<std::pair<Instant, TargetReport>> report_history_;
};

}  // namespace gorsevalve
