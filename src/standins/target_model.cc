#include "standins/target_model.h"

#include <xxhash.h>

#include <algorithm>

namespace gorsevalve {
namespace {

constexpr std::size_t kMaxCachedResponses = 20000;
constexpr std::uint32_t kMaxUnacknowledged = 8;
/// One notification out of this many is confirmable, to detect clients that are gone (RFC 7641,
/// section 4.5).
constexpr std::uint32_t kConfirmableInterval = 4;

}  // namespace

std::string download_content(const std::string& id) {
  std::string content;
  for (std::uint64_t i = 0; content.size() < kDownloadSize; ++i) {
    content += id + ":" + std::to_string(XXH3_64bits_withSeed(id.data(), id.size(), i)) + ";";
  }
  content.resize(kDownloadSize);
  return content;
}

TargetModel::TargetModel(TargetModelConfig config, TargetOutput& output, Instant now)
    : config_(std::move(config)), output_(output), started_(now) {}

Duration TargetModel::service_time(Instant now) const {
  const Duration age = now - started_;
  if (age >= config_.warm_up_time) {
    return config_.service_time;
  }
  const double warm_share =
      static_cast<double>(age.count()) / static_cast<double>(config_.warm_up_time.count());
  const auto extra =
      static_cast<double>((config_.warm_up_service_time - config_.service_time).count());
  return config_.service_time + Duration(static_cast<std::int64_t>(extra * (1 - warm_share)));
}

void TargetModel::respond(const ProxyHeader& header, const Bytes& message) {
  ProxyHeader reply;
  reply.flow = header.flow;
  reply.request_id = header.request_id;
  reply.target = config_.address;
  output_.send_response(reply, message);
}

void TargetModel::on_datagram(ByteView datagram, Instant now) {
  const auto decoded = decode_proxy_datagram(datagram);
  if (!decoded || !decoded->header.request_id) {
    return;
  }
  const ProxyHeader& header = decoded->header;
  service_ = service_.value_or(header.flow.service);
  if (header.flow.service != *service_) {
    ++misrouted_datagrams_;
  }
  const auto summary = parser_.parse(decoded->payload);
  if (!summary) {
    return;
  }
  if (summary->code == coap_code::kEmpty) {
    on_empty(header, *summary);
  } else if (summary->is_request()) {
    on_request(header, *summary, decoded->payload, now);
  }
  start_jobs(now);
}

void TargetModel::on_empty(const ProxyHeader& header, const CoapSummary& summary) {
  for (auto& job : queued_) {
    if (summary.type == CoapType::kReset && job.header.request_id == header.request_id) {
      job.cancelled = true;
    }
  }
  for (auto observation = observations_.begin(); observation != observations_.end();
       ++observation) {
    const bool matches = observation->first.flow == header.flow &&
                         observation->second.last_message_id == summary.message_id;
    if (!matches) {
      continue;
    }
    if (summary.type == CoapType::kReset) {
      observations_.erase(observation);
    } else {
      observation->second.unacknowledged = 0;
    }
    return;
  }
}

void TargetModel::on_request(const ProxyHeader& header, const CoapSummary& summary,
                             ByteView message, Instant now) {
  const MessageKey key{header.flow, summary.message_id};
  const auto known = cached_responses_.find(key);
  if (known != cached_responses_.end()) {
    if (!known->second.empty()) {
      respond(header, known->second);
    }
    return;
  }
  if (running_.size() >= config_.slots && queued_.size() >= config_.queue_limit) {
    // Caches the rejection: a retransmission must get the same response even if the queue has room
    // by then (RFC 7252, section 4.5).
    cached_response(key) = encode_verdict({Execution::kNotRun, FailureReason::kOverload},
                                          summary.type, summary.message_id, summary.token);
    respond(header, cached_responses_[key]);
    return;
  }
  cached_response(key) = {};
  const bool continues = summary.block2 && summary.block2->number > 0;
  if (!continues) {
    last_new_work_ = now;
  }
  Job job{header, Bytes(message.begin(), message.end()), now, std::nullopt};
  if (header.time_left_ms) {
    job.deadline = now + std::chrono::milliseconds(*header.time_left_ms);
  }
  queued_.push_back(std::move(job));
}

Bytes& TargetModel::cached_response(const MessageKey& key) {
  cached_response_order_.push_back(key);
  if (cached_response_order_.size() > kMaxCachedResponses) {
    cached_responses_.erase(cached_response_order_.front());
    cached_response_order_.pop_front();
  }
  return cached_responses_[key];
}

void TargetModel::start_jobs(Instant now) {
  while (!queued_.empty() && running_.size() < config_.slots) {
    Job job = std::move(queued_.front());
    queued_.pop_front();
    if (job.cancelled || (job.deadline && now > *job.deadline)) {
      ++requests_dropped_;
      continue;
    }
    job.started = now;
    running_.push_back(std::move(job));
  }
}

void TargetModel::on_tick(Instant now) {
  bool finished = true;
  while (finished) {
    finished = false;
    start_jobs(now);
    for (auto job = running_.begin(); job != running_.end(); ++job) {
      if (now - job->started >= service_time(job->started)) {
        const Job done = std::move(*job);
        running_.erase(job);
        finish(done, now);
        finished = true;
        break;
      }
    }
  }
  std::vector<TokenKey> expired;
  for (auto& [key, observation] : observations_) {
    if (now < observation.next_at) {
      continue;
    }
    if (observation.unacknowledged > kMaxUnacknowledged) {
      expired.push_back(key);
      continue;
    }
    const bool confirmable = observation.sequence % kConfirmableInterval == 0;
    notify(observation, confirmable ? CoapType::kConfirmable : CoapType::kNonConfirmable,
           next_message_id_++, now);
    observation.unacknowledged += confirmable ? 1 : 0;
  }
  for (const auto& key : expired) {
    observations_.erase(key);
  }
}

std::string TargetModel::query_id() const {
  constexpr std::string_view kPrefix = "id=";
  for (const auto& query : parser_.queries()) {
    if (query.starts_with(kPrefix)) {
      return query.substr(kPrefix.size());
    }
  }
  return {};
}

void TargetModel::finish(const Job& job, Instant now) {
  const auto summary = parser_.parse(job.message);
  const std::string id = query_id();
  const std::string path = parser_.path();
  ++requests_run_;
  CoapMessage reply;
  reply.type = summary->type == CoapType::kConfirmable ? CoapType::kAcknowledgement
                                                       : CoapType::kNonConfirmable;
  reply.message_id = summary->message_id;
  reply.token = summary->token;
  if (path == target_path::kFeed && summary->observe) {
    run_observe(job, *summary, id, now);
    return;
  }
  if (path == target_path::kUpdate && summary->code == coap_code::kPost) {
    ++executions_[id];
    reply.code = coap_code::kChanged;
    const std::string text = "done " + id;
    reply.payload.assign(text.begin(), text.end());
  } else if (path == target_path::kDownload) {
    cached_responses_[MessageKey{job.header.flow, summary->message_id}] =
        run_download(job.header.flow, *summary, id);
    respond(job.header, cached_responses_[MessageKey{job.header.flow, summary->message_id}]);
    return;
  } else if (path == target_path::kLookup) {
    reply.code = coap_code::kContent;
    const std::string text = "found " + id + " at " + config_.name;
    reply.payload.assign(text.begin(), text.end());
  } else {
    reply.code = coap_code::kNotFound;
  }
  Bytes message = encode_coap(reply);
  respond(job.header, message);
  cached_responses_[MessageKey{job.header.flow, summary->message_id}] = std::move(message);
}

Bytes TargetModel::run_download(const FlowKey& flow, const CoapSummary& summary,
                                const std::string& id) {
  const std::string content = download_content(id);
  const std::uint32_t number = summary.block2 ? summary.block2->number : 0;
  if (number == 0) {
    downloads_[flow] = id;
  }
  const bool started_here = downloads_[flow] == id;
  const std::size_t start = std::min(std::size_t{number} * kDownloadBlockSize, content.size());
  const std::size_t size = std::min(kDownloadBlockSize, content.size() - start);
  CoapMessage reply;
  reply.type = summary.type == CoapType::kConfirmable ? CoapType::kAcknowledgement
                                                      : CoapType::kNonConfirmable;
  reply.code = started_here ? coap_code::kContent : coap_code::kEntityIncomplete;
  reply.message_id = summary.message_id;
  reply.token = summary.token;
  if (!started_here) {
    return encode_coap(reply);
  }
  reply.block2 = BlockOption{number, start + size < content.size(), kDownloadBlockExponent};
  reply.payload.assign(content.begin() + static_cast<std::ptrdiff_t>(start),
                       content.begin() + static_cast<std::ptrdiff_t>(start + size));
  return encode_coap(reply);
}

void TargetModel::run_observe(const Job& job, const CoapSummary& summary, const std::string& id,
                              Instant now) {
  const TokenKey key{job.header.flow, summary.token};
  const CoapType reply_type = summary.type == CoapType::kConfirmable ? CoapType::kAcknowledgement
                                                                     : CoapType::kNonConfirmable;
  if (*summary.observe == 1) {
    observations_.erase(key);
    CoapMessage reply;
    reply.type = reply_type;
    reply.code = coap_code::kContent;
    reply.message_id = summary.message_id;
    reply.token = summary.token;
    respond(job.header, encode_coap(reply));
    return;
  }
  Observation& observation = observations_[key];
  observation.header = job.header;
  observation.token = summary.token;
  observation.id = id;
  observation.unacknowledged = 0;
  notify(observation, reply_type, summary.message_id, now);
}

void TargetModel::notify(Observation& observation, CoapType type, std::uint16_t message_id,
                         Instant now) {
  observation.next_at = now + config_.notification_interval;
  observation.sequence = (observation.sequence + 1) & kObserveMask;
  CoapMessage message;
  message.type = type;
  message.code = coap_code::kContent;
  message.message_id = message_id;
  message.token = observation.token;
  message.observe = observation.sequence;
  const std::string text = "feed " + observation.id + " from " + config_.name;
  message.payload.assign(text.begin(), text.end());
  if (type != CoapType::kAcknowledgement) {
    observation.last_message_id = message_id;
  }
  respond(observation.header, encode_coap(message));
}

TargetReport TargetModel::report(Instant now) {
  TargetReport fresh;
  fresh.target = config_.address;
  fresh.connections = static_cast<std::uint32_t>(observations_.size());
  fresh.running = static_cast<std::uint32_t>(running_.size() + queued_.size());
  if (config_.misleading_report) {
    fresh.connections = 0;
    fresh.running = 0;
  }
  report_history_.emplace_back(now, fresh);
  while (report_history_.size() > 1 && now - report_history_[1].first >= config_.report_lag) {
    report_history_.pop_front();
  }
  return report_history_.front().second;
}

}  // namespace gorsevalve
