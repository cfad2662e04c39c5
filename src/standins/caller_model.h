/// Behaviour of callers, for the simulator and the stand-in program. Each caller has its own
/// endpoint and does one kind of work; every answer is checked against what was asked.
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

enum class CallerKind : std::uint8_t {
  /// Keeps one feed open.
  kFeed = 0,
  /// Sends updates that may not be repeated.
  kUpdate = 1,
  /// Fetches documents block by block.
  kDownload = 2,
  /// Asks for single values, each on a new flow.
  kLookup = 3,
};

/// What became of an update, as its caller was told.
enum class UpdateFate : std::uint8_t { kUnknown = 0, kDone = 1, kNotRun = 2, kMayHaveRun = 3 };

/// What callers saw, added up.
struct CallerStats {
  std::uint64_t requests = 0;
  std::uint64_t answers = 0;
  /// Answers whose content belongs to another request.
  std::uint64_t wrong_answers = 0;
  /// Feeds that went silent, and downloads that failed or changed their target unasked.
  std::uint64_t broken_flows = 0;
  std::uint64_t feeds = 0;
  std::uint64_t notifications = 0;
  /// Feed notifications from another target than before.
  std::uint64_t feed_moves = 0;
  std::uint64_t downloads = 0;
  std::uint64_t verdicts_not_run = 0;
  std::uint64_t verdicts_may_have_run = 0;
  std::uint64_t timeouts = 0;
  /// Verdicts without a time to come back.
  std::uint64_t verdicts_without_time = 0;
  /// Time from first send to answer.
  std::vector<Duration> latencies;
  std::map<std::string, UpdateFate> updates;

  void add(const CallerStats& other);
};

struct CallerConfig {
  CallerKind kind = CallerKind::kLookup;
  FlowKey flow;
  /// Distinguishes the ids of this caller from all others'.
  std::string name;
  std::uint64_t seed = 1;
  /// Time before the first piece of work.
  Duration start_after{};
  /// Pause between two pieces of work.
  Duration pause = std::chrono::milliseconds(200);
  Duration feed_interval = std::chrono::milliseconds(500);
  /// Ports that the caller uses in turn, from the flow's port on: each lookup is a flow of its own.
  std::uint16_t ports = 1;
};

class CallerOutput {
 public:
  virtual ~CallerOutput() = default;
  virtual void send(const FlowKey& flow, ByteView message) = 0;
};

/// One caller. Retransmits as RFC 7252 section 4.2 says.
class CallerModel {
 public:
  CallerModel(CallerConfig config, CallerOutput& output, Instant now);

  void on_message(ByteView message, Instant now);
  void on_tick(Instant now);
  /// Begins nothing new; a feed is given up.
  void stop() { stopping_ = true; }
  [[nodiscard]] bool is_idle() const;

  [[nodiscard]] const CallerStats& stats() const { return stats_; }
  [[nodiscard]] const CallerConfig& config() const { return config_; }

  /// A feed is broken when it is silent for this many intervals.
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
  void on_answer(const CoapSummary& summary, const std::string& text, Instant now);
  void on_verdict(const CoapSummary& summary, Instant now);
  void on_notification(const CoapSummary& summary, const std::string& text, Instant now);
  void on_block(const CoapSummary& summary, const std::string& text, Instant now);
  void on_timeout(Instant now);
  void finish(Instant now, Duration pause);

  CallerConfig config_;
  CallerOutput& output_;
  CallerStats stats_;
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

  bool feed_open_ = false;
  std::string feed_id_;
  CoapToken feed_token_;
  std::string feed_source_;
  Instant last_notification_;
  std::uint32_t last_observe_ = 0;

  std::string document_;
  std::string document_id_;
  std::uint32_t next_block_ = 0;
};

}  // namespace gorsevalve
