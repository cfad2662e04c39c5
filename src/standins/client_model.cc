#include "standins/client_model.h"

#include <algorithm>

#include "standins/target_model.h"

namespace gorsevalve {
namespace {

/// RFC 7252 section 4.8: ACK_TIMEOUT, ACK_RANDOM_FACTOR, MAX_RETRANSMIT.
constexpr Duration kAckTimeout = std::chrono::seconds(2);
constexpr double kAckRandomFactor = 1.5;
constexpr int kMaxRetransmit = 4;

CoapToken make_token(std::uint32_t number) {
  CoapToken token;
  token.length = 4;
  for (unsigned i = 0; i < 4; ++i) {
    token.bytes[i] = static_cast<std::uint8_t>(number >> (8U * i));
  }
  return token;
}

std::vector<std::string> split_path(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty()) {
    path.remove_prefix(1);
    const std::size_t end = std::min(path.find('/'), path.size());
    segments.emplace_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return segments;
}

}  // namespace

void ClientStats::add(const ClientStats& other) {
  requests += other.requests;
  responses += other.responses;
  wrong_responses += other.wrong_responses;
  broken_flows += other.broken_flows;
  observations += other.observations;
  notifications += other.notifications;
  observation_moves += other.observation_moves;
  downloads += other.downloads;
  verdicts_not_run += other.verdicts_not_run;
  verdicts_may_have_run += other.verdicts_may_have_run;
  timeouts += other.timeouts;
  verdicts_without_max_age += other.verdicts_without_max_age;
  latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
  updates.insert(other.updates.begin(), other.updates.end());
}

ClientModel::ClientModel(ClientConfig config, ClientOutput& output, Instant now)
    : config_(std::move(config)),
      output_(output),
      random_(config_.seed),
      next_message_id_(static_cast<std::uint16_t>(random_())),
      first_port_(config_.flow.client.port),
      next_work_(now + config_.start_delay) {}

bool ClientModel::is_idle() const { return !outstanding_ && next_block_ == 0; }

void ClientModel::send_request(std::uint8_t code, std::string_view path, const std::string& id,
                               std::optional<std::uint32_t> observe,
                               std::optional<BlockOption> block, Instant now) {
  CoapMessage message;
  message.type = CoapType::kConfirmable;
  message.code = code;
  message.message_id = next_message_id_++;
  message.token = make_token(next_token_++);
  message.observe = observe;
  message.path = split_path(path);
  message.queries = {"id=" + id};
  message.block2 = block;
  std::uniform_real_distribution<double> factor(1.0, kAckRandomFactor);
  Outstanding request;
  request.id = id;
  request.message = encode_coap(message);
  request.token = message.token;
  request.message_id = message.message_id;
  request.first_sent = now;
  request.timeout = Duration(
      static_cast<std::int64_t>(static_cast<double>(kAckTimeout.count()) * factor(random_)));
  request.next_send = now + request.timeout;
  request.sends = 1;
  outstanding_ = std::move(request);
  ++stats_.requests;
  output_.send(config_.flow, outstanding_->message);
}

void ClientModel::begin_work(Instant now) {
  const std::string id = config_.name + "-" + std::to_string(next_number_++);
  switch (config_.kind) {
    case ClientKind::kObserve:
      observation_id_ = id;
      observation_source_.clear();
      send_request(coap_code::kGet, target_path::kFeed, id, 0, std::nullopt, now);
      observation_token_ = outstanding_->token;
      break;
    case ClientKind::kUpdate:
      stats_.updates[id] = UpdateOutcome::kUnknown;
      send_request(coap_code::kPost, target_path::kUpdate, id, std::nullopt, std::nullopt, now);
      break;
    case ClientKind::kDownload:
      document_.clear();
      document_id_ = id;
      next_block_ = 0;
      send_request(coap_code::kGet, target_path::kDownload, id, std::nullopt,
                   BlockOption{0, false, kDownloadBlockExponent}, now);
      break;
    case ClientKind::kLookup:
      config_.flow.client.port =
          static_cast<std::uint16_t>(first_port_ + next_number_ % config_.port_count);
      send_request(coap_code::kGet, target_path::kLookup, id, std::nullopt, std::nullopt, now);
      break;
  }
}

void ClientModel::on_tick(Instant now) {
  if (outstanding_) {
    if (now < outstanding_->next_send) {
      return;
    }
    if (outstanding_->sends > kMaxRetransmit) {
      on_timeout(now);
      return;
    }
    outstanding_->timeout *= 2;
    outstanding_->next_send = now + outstanding_->timeout;
    ++outstanding_->sends;
    output_.send(config_.flow, outstanding_->message);
    return;
  }
  if (observation_open_) {
    if (now - last_notification_ > kSilentIntervals * config_.notification_interval) {
      ++stats_.broken_flows;
      observation_open_ = false;
      next_work_ = now;
    }
    return;
  }
  if (!stopping_ && now >= next_work_) {
    begin_work(now);
  }
}

void ClientModel::schedule_next_work(Instant now, Duration delay) {
  outstanding_.reset();
  next_work_ = now + delay;
}

void ClientModel::on_timeout(Instant now) {
  ++stats_.timeouts;
  if (config_.kind == ClientKind::kDownload && next_block_ > 0) {
    ++stats_.broken_flows;
    next_block_ = 0;
  }
  schedule_next_work(now, config_.work_interval);
}

void ClientModel::on_message(ByteView message, Instant now) {
  const auto summary = parser_.parse(message);
  if (!summary) {
    ++stats_.wrong_responses;
    return;
  }
  if (summary->code == coap_code::kEmpty) {
    return;
  }
  const ByteView payload = parser_.payload();
  const std::string text(payload.begin(), payload.end());
  const bool is_observation =
      config_.kind == ClientKind::kObserve && summary->token == observation_token_;
  if (summary->type == CoapType::kConfirmable) {
    // A reset rejects notifications of an unknown observation (RFC 7641, section 3.6).
    const CoapType reply = is_observation ? CoapType::kAcknowledgement : CoapType::kReset;
    output_.send(config_.flow, encode_empty_message(reply, summary->message_id));
  }
  if (is_observation && summary->observe) {
    on_notification(*summary, text, now);
    return;
  }
  const bool matches = outstanding_ && outstanding_->token == summary->token &&
                       (summary->type != CoapType::kAcknowledgement ||
                        summary->message_id == outstanding_->message_id);
  if (!matches) {
    return;
  }
  on_response(*summary, text, now);
}

void ClientModel::on_verdict(const CoapSummary& summary, Instant now) {
  const bool not_run = summary.code == coap_code::kServiceUnavailable;
  ++(not_run ? stats_.verdicts_not_run : stats_.verdicts_may_have_run);
  if (!summary.max_age) {
    ++stats_.verdicts_without_max_age;
  }
  if (config_.kind == ClientKind::kUpdate) {
    stats_.updates[outstanding_->id] =
        not_run ? UpdateOutcome::kNotRun : UpdateOutcome::kMayHaveRun;
  }
  const Duration retry_delay = std::chrono::seconds(summary.max_age.value_or(1));
  if (config_.kind == ClientKind::kDownload && next_block_ > 0) {
    ++stats_.broken_flows;
    next_block_ = 0;
  }
  schedule_next_work(now, retry_delay);
}

void ClientModel::on_response(const CoapSummary& summary, const std::string& text, Instant now) {
  if (summary.code == coap_code::kServiceUnavailable ||
      summary.code == coap_code::kGatewayTimeout) {
    on_verdict(summary, now);
    return;
  }
  ++stats_.responses;
  stats_.latencies.push_back(now - outstanding_->first_sent);
  switch (config_.kind) {
    case ClientKind::kUpdate:
      if (text == "done " + outstanding_->id) {
        stats_.updates[outstanding_->id] = UpdateOutcome::kDone;
      } else {
        ++stats_.wrong_responses;
      }
      schedule_next_work(now, config_.work_interval);
      return;
    case ClientKind::kLookup:
      stats_.wrong_responses += text.starts_with("found " + outstanding_->id + " at ") ? 0 : 1;
      schedule_next_work(now, config_.work_interval);
      return;
    case ClientKind::kDownload:
      on_block(summary, text, now);
      return;
    case ClientKind::kObserve:
      // A response without Observe: the target rejected the registration.
      ++stats_.wrong_responses;
      schedule_next_work(now, config_.work_interval);
      return;
  }
}

void ClientModel::on_block(const CoapSummary& summary, const std::string& text, Instant now) {
  if (summary.code == coap_code::kEntityIncomplete) {
    // The response is from another target than the first block.
    ++stats_.broken_flows;
    next_block_ = 0;
    schedule_next_work(now, config_.work_interval);
    return;
  }
  const std::string expected = download_content(document_id_);
  const bool is_expected = summary.block2 && summary.block2->number == next_block_ &&
                           expected.compare(document_.size(), text.size(), text) == 0;
  if (!is_expected) {
    ++stats_.wrong_responses;
    next_block_ = 0;
    schedule_next_work(now, config_.work_interval);
    return;
  }
  document_ += text;
  if (!summary.block2->more) {
    stats_.wrong_responses += document_ == expected ? 0 : 1;
    ++stats_.downloads;
    next_block_ = 0;
    schedule_next_work(now, config_.work_interval);
    return;
  }
  ++next_block_;
  send_request(coap_code::kGet, target_path::kDownload, document_id_, std::nullopt,
               BlockOption{next_block_, false, kDownloadBlockExponent}, now);
}

void ClientModel::on_notification(const CoapSummary& summary, const std::string& text,
                                  Instant now) {
  const std::string prefix = "feed " + observation_id_ + " from ";
  if (!text.starts_with(prefix)) {
    ++stats_.wrong_responses;
    return;
  }
  if (!observation_open_ && outstanding_ && outstanding_->token == summary.token) {
    ++stats_.observations;
    ++stats_.responses;
    stats_.latencies.push_back(now - outstanding_->first_sent);
    outstanding_.reset();
    observation_open_ = true;
  } else if (!observe_is_fresher(last_observe_, *summary.observe)) {
    return;
  }
  last_observe_ = *summary.observe;
  last_notification_ = now;
  ++stats_.notifications;
  const std::string source = text.substr(prefix.size());
  if (!observation_source_.empty() && source != observation_source_) {
    ++stats_.observation_moves;
  }
  observation_source_ = source;
}

}  // namespace gorsevalve
