#include "programs/control_admin.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <ctime>
#include <nlohmann/json.hpp>
#include <sstream>

#include "settings/settings_file.h"
#include "storage/secret_file.h"
#include "tasks/log.h"
#include "tasks/metrics.h"
#include "tasks/submission_body.h"

namespace gorsevalve {
namespace {

using nlohmann::json;

constexpr std::string_view kEvacuationPrefix = "/v1/evacuations/";

json to_json(const SubmissionOutcome& outcome) {
  return {{"id", outcome.id},
          {"accepted", outcome.accepted},
          {"revision", outcome.revision},
          {"winner", outcome.winner}};
}

json to_json(const std::vector<SettingsError>& errors) {
  json list = json::array();
  for (const auto& error : errors) {
    list.push_back({{"file", error.file},
                    {"line", error.line},
                    {"field", error.field},
                    {"message", error.message}});
  }
  return list;
}

/// Serializes a body. Replaces invalid UTF-8, which a message may quote from a request.
std::string to_text(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string error_body(const std::string& message) { return to_text({{"error", message}}); }

std::string not_leader_body(const std::optional<Endpoint>& leader) {
  json body = {{"error", "this replica is not the leader"}};
  if (leader) {
    body["leader"] = to_string(*leader);
  }
  return body.dump();
}

/// HTTP response for the result of an evacuation command.
HttpResponse to_response(const EvacuationCommand& command, const CommandReply& reply) {
  switch (reply.status) {
    case CommandStatus::kAcknowledged:
      return {200, "application/json",
              json{{"zone", command.zone}, {"order", to_string(command.action)}}.dump()};
    case CommandStatus::kNotLeader:
      return {421, "application/json", not_leader_body(reply.leader)};
    case CommandStatus::kUnknown:
      return {202, "application/json", error_body("not decided yet; ask again")};
    case CommandStatus::kUnknownZone:
      return {404, "application/json",
              to_text({{"error", unknown_zone_error(command.zone, reply.known_zones)},
                       {"known_zones", reply.known_zones}})};
  }
  return {500, "application/json", error_body("internal error")};
}

/// HTTP response for the result of a submission.
HttpResponse to_response(const SubmissionResult& result) {
  switch (result.status) {
    case ControlStatus::kOk:
      return {result.outcome.accepted ? 200 : 409, "application/json",
              to_json(result.outcome).dump()};
    case ControlStatus::kNotLeader:
      return {421, "application/json", not_leader_body(result.leader)};
    case ControlStatus::kPending:
      return {202, "application/json", error_body("not decided yet; ask again with the same id")};
  }
  return {500, "application/json", error_body("internal error")};
}

json evacuations_json(const SteeringState& steering) {
  json list = json::array();
  for (const auto& evacuated : steering.evacuated_zones) {
    list.push_back({{"zone", evacuated.zone}, {"since_revision", evacuated.since}});
  }
  return list;
}

json status_json(const ControlTask& control) {
  const ControlNode& node = control.node();
  const RolloutStatus rollout = node.rollout_status();
  json lagging = json::array();
  for (const auto& member : rollout.lagging) {
    lagging.push_back(member.name);
  }
  json body = {{"is_leader", node.replica().has_lease(monotonic_now())},
               {"term", node.replica().term()},
               {"commit_index", node.replica().commit_index()},
               {"revision", node.state().fleet().revision},
               {"settings_revision", node.state().fleet().settings_revision},
               {"members_revision", node.state().fleet().members_revision},
               {"digest", node.state().digest()},
               {"members", rollout.members},
               {"in_force", rollout.up_to_date},
               {"lagging", lagging},
               {"evacuated_zones", evacuations_json(node.state().fleet().steering)},
               {"without_targets", pools_without_targets(node.state().fleet())},
               {"replicas", json::array()}};
  for (const auto& replica : node.replica().replicas().replicas) {
    body["replicas"].push_back(
        {{"address", to_string(replica.address)}, {"voter", replica.voter}, {"id", replica.id}});
  }
  if (const auto leader = node.replica().leader_address()) {
    body["leader"] = to_string(*leader);
  }
  return body;
}

json nodes_json(const ControlTask& control) {
  json list = json::array();
  const auto& node = control.node();
  for (const auto& member : node.state().fleet().members) {
    const NodeEntry* entry = node.nodes().find(member.address);
    json item = {{"name", member.name},
                 {"zone", member.zone},
                 {"address", to_string(member.address)},
                 {"state", member.state == MemberState::kActive ? "active" : "leaving"}};
    if (entry != nullptr) {
      item["revision"] = entry->status.revision;
      item["settled_revision"] = entry->status.settled_revision;
    }
    list.push_back(item);
  }
  return list;
}

json revisions_json(const ControlTask& control) {
  json list = json::array();
  for (const auto& info : control.node().state().history()) {
    list.push_back({{"revision", info.revision},
                    {"submission", info.submission},
                    {"author", info.author},
                    {"submitted_at", info.submitted_at_s},
                    {"digest", info.digest}});
  }
  return list;
}

std::string metrics_text(const ControlTask& control) {
  const ControlNode& node = control.node();
  const RolloutStatus rollout = node.rollout_status();
  return render_metrics({
      {"gorsevalve_control_is_leader", "1 on the leader", node.replica().is_leader() ? 1.0 : 0.0,
       false},
      {"gorsevalve_control_term", "Term of the log", static_cast<double>(node.replica().term()),
       false},
      {"gorsevalve_control_commit_index", "Committed log index",
       static_cast<double>(node.replica().commit_index()), false},
      {"gorsevalve_control_settings_revision", "Settings revision",
       static_cast<double>(rollout.revision), false},
      {"gorsevalve_control_members", "Balancer members", static_cast<double>(rollout.members),
       false},
      {"gorsevalve_control_members_in_force", "Members that have applied the settings",
       static_cast<double>(rollout.up_to_date), false},
      {"gorsevalve_control_zones_evacuated", "Zones that are evacuated by the committed state",
       static_cast<double>(node.state().fleet().steering.evacuated_zones.size()), false},
      {"gorsevalve_control_messages_refused_total", "Messages rejected as not authentic",
       static_cast<double>(control.messages_rejected()), true},
  });
}

}  // namespace

tl::expected<ApiTokens, std::string> read_token_file(const std::string& path) {
  const auto lines = read_secret_file(path);
  if (!lines) {
    return tl::unexpected(lines.error());
  }
  ApiTokens tokens;
  for (const auto& line : *lines) {
    std::istringstream words(line.text);
    std::string permission;
    std::string token;
    words >> permission >> token;
    const bool known = permission == "read" || permission == "submit";
    if (!known || token.size() < kMinSecretSize) {
      return tl::unexpected(path + ":" + std::to_string(line.number) +
                            ": must be \"read TOKEN\" or \"submit TOKEN\" with a token of at "
                            "least 16 characters");
    }
    (permission == "read" ? tokens.read : tokens.submit).push_back(token);
  }
  return tokens;
}

bool is_authorized(const std::string& authorization, const std::vector<std::string>& tokens) {
  constexpr std::string_view kScheme = "Bearer ";
  if (!authorization.starts_with(kScheme)) {
    return false;
  }
  const std::string given = authorization.substr(kScheme.size());
  return std::any_of(tokens.begin(), tokens.end(), [&](const std::string& token) {
    return token.size() == given.size() &&
           CRYPTO_memcmp(token.data(), given.data(), token.size()) == 0;
  });
}

ControlAdmin::ControlAdmin(EventLoop& main_loop, ControlTask& control, ApiTokens tokens)
    : main_loop_(main_loop), control_(control), tokens_(std::move(tokens)) {}

tl::expected<void, std::string> ControlAdmin::open(const Endpoint& address) {
  auto server = HttpServer::open(loop_, address, [this](Number number, const HttpRequest& request) {
    on_request(number, request);
  });
  if (!server) {
    return tl::unexpected(server.error());
  }
  server_ = std::move(*server);
  return {};
}

void ControlAdmin::start() {
  thread_ = std::thread([this] { loop_.run(); });
}

void ControlAdmin::stop() {
  loop_.stop();
  thread_.join();
}

void ControlAdmin::respond(Number number, int status, const std::string& body,
                           const std::string& type) {
  loop_.post([this, number, response = HttpResponse{status, type, body}] {
    server_->respond(number, response);
  });
}

void ControlAdmin::on_request(Number number, const HttpRequest& request) {
  const bool may_submit = is_authorized(request.authorization, tokens_.submit);
  const bool may_read = may_submit || is_authorized(request.authorization, tokens_.read);
  const bool is_open = request.path == "/v1/health" || request.path == "/metrics";
  const bool is_evacuation = request.path.starts_with(kEvacuationPrefix) &&
                             (request.method == "PUT" || request.method == "DELETE");
  const bool needs_submit_token =
      is_evacuation || (request.method == "POST" && request.path == "/v1/submissions");
  if (needs_submit_token ? !may_submit : !may_read && !is_open) {
    server_->respond(number, {401, "application/json", error_body("a valid token is needed")});
  } else if (is_evacuation) {
    on_evacuation(number, request);
  } else if (needs_submit_token) {
    on_submission(number, request);
  } else if (request.method == "GET") {
    main_loop_.post([this, number, path = request.path] { on_read(number, path); });
  } else {
    server_->respond(number, {405, "application/json", error_body("method not allowed")});
  }
}

void ControlAdmin::on_submission(Number number, const HttpRequest& request) {
  auto body = parse_submission_body(request.body);
  if (!body) {
    server_->respond(number, {400, "application/json", error_body(body.error())});
    return;
  }
  SettingsCommand command;
  command.id = std::move(body->id);
  command.base_revision = body->base_revision;
  command.author = std::move(body->author);
  command.text = std::move(body->text);
  command.submitted_at_s = static_cast<std::int64_t>(std::time(nullptr));
  const std::string file = body->file;
  auto settings = parse_settings(command.text, file);
  if (!settings) {
    server_->respond(number,
                     {422, "application/json", json{{"errors", to_json(settings.error())}}.dump()});
    return;
  }
  command.settings = std::move(*settings);
  main_loop_.post([this, number, command = std::move(command), file]() mutable {
    const auto errors =
        check_change(control_.node().state().fleet().settings, command.settings, file);
    const bool known = control_.node().state().outcome(command.id).has_value();
    if (!errors.empty() && !known) {
      respond(number, 422, json{{"errors", to_json(errors)}}.dump());
      return;
    }
    control_.submit(std::move(command), [this, number](const SubmissionResult& result) {
      const HttpResponse response = to_response(result);
      respond(number, response.status, response.body);
    });
  });
}

void ControlAdmin::on_evacuation(Number number, const HttpRequest& request) {
  const EvacuationCommand command{
      request.path.substr(kEvacuationPrefix.size()),
      request.method == "PUT" ? EvacuationAction::kEvacuate : EvacuationAction::kRestore};
  main_loop_.post([this, number, command] {
    control_.submit_evacuation(command, [this, number, command](const CommandReply& reply) {
      const HttpResponse response = to_response(command, reply);
      respond(number, response.status, response.body);
    });
  });
}

void ControlAdmin::on_read(Number number, const std::string& path) {
  constexpr std::string_view kSubmissionPrefix = "/v1/submissions/";
  const ControlState& state = control_.node().state();
  if (path == "/v1/status" || path == "/v1/health") {
    respond(number, 200, status_json(control_).dump());
  } else if (path == "/v1/nodes") {
    respond(number, 200, nodes_json(control_).dump());
  } else if (path == "/v1/revisions") {
    respond(number, 200, revisions_json(control_).dump());
  } else if (path == "/v1/settings") {
    respond(number, 200,
            json{{"revision", state.fleet().settings_revision}, {"text", state.settings_text()}}
                .dump());
  } else if (path == "/metrics") {
    respond(number, 200, metrics_text(control_), "text/plain; version=0.0.4");
  } else if (path.starts_with(kSubmissionPrefix)) {
    const HttpResponse response =
        to_response(control_.outcome(path.substr(kSubmissionPrefix.size())));
    respond(number, response.status, response.body);
  } else {
    respond(number, 404, error_body("no such path"));
  }
}

}  // namespace gorsevalve
