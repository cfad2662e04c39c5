#include "programs/explain.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace gorsevalve {
namespace {

using nlohmann::json;

struct ParsedLine {
  json fields;
  std::string text;
};

std::optional<ParsedLine> parse_line(const std::string& line) {
  const std::size_t brace = line.find('{');
  if (brace == std::string::npos) {
    return std::nullopt;
  }
  json fields = json::parse(line.substr(brace), nullptr, false);
  if (!fields.is_object() || !fields.contains("event") || !fields.contains("time")) {
    return std::nullopt;
  }
  return ParsedLine{std::move(fields), line.substr(brace)};
}

std::string field_text(const json& fields, const char* name) {
  if (!fields.contains(name)) {
    return {};
  }
  const json& value = fields.at(name);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

bool matches_id(const json& fields, const std::string& id) {
  const std::string flow = field_text(fields, "flow");
  if (flow == id || (!flow.empty() && flow.substr(0, flow.find('>')) == id)) {
    return true;
  }
  constexpr const char* kNames[] = {"target", "version", "operator_version", "id", "replica"};
  return std::any_of(std::begin(kNames), std::end(kNames),
                     [&](const char* name) { return field_text(fields, name) == id; });
}

/// True for events about the state of a node rather than of one flow or target.
bool is_node_event(const std::string& event) {
  static const std::set<std::string> kEvents = {"starting",
                                                "started",
                                                "stopping",
                                                "stopped",
                                                "ready",
                                                "not_ready",
                                                "replica_silent",
                                                "loop_stalled",
                                                "became_leader",
                                                "lost_leadership",
                                                "leader_silent",
                                                "storage_refuses",
                                                "log_lines_dropped",
                                                "revisions_behind",
                                                "state_unconfirmed",
                                                "state_confirmed_again",
                                                "accepting_paused"};
  return kEvents.contains(event);
}

}  // namespace

std::vector<ExplainedLine> explain(const std::string& id, const std::vector<std::string>& lines) {
  std::vector<ParsedLine> parsed;
  for (const auto& line : lines) {
    if (auto parsed_line = parse_line(line)) {
      parsed.push_back(std::move(*parsed_line));
    }
  }
  std::set<std::string> targets;
  std::set<std::string> nodes;
  for (const auto& line : parsed) {
    if (matches_id(line.fields, id) && line.fields.contains("flow")) {
      targets.insert(field_text(line.fields, "target"));
      nodes.insert(field_text(line.fields, "node"));
    }
  }
  std::vector<ExplainedLine> explained;
  for (const auto& line : parsed) {
    const std::string event = field_text(line.fields, "event");
    const std::string node = field_text(line.fields, "node");
    const bool of_target =
        !line.fields.contains("flow") && targets.contains(field_text(line.fields, "target"));
    std::string relation;
    if (matches_id(line.fields, id)) {
      relation = "id";
    } else if (of_target) {
      relation = "target of the flow";
    } else if (nodes.contains(node) && is_node_event(event)) {
      relation = "node of the flow";
    } else {
      continue;
    }
    explained.push_back({field_text(line.fields, "time"), node, event, relation, line.text});
  }
  std::stable_sort(explained.begin(), explained.end(),
                   [](const ExplainedLine& a, const ExplainedLine& b) { return a.time < b.time; });
  return explained;
}

std::string render_explanation(const std::vector<ExplainedLine>& explained) {
  std::string out;
  for (const auto& line : explained) {
    out += line.time + " " + line.node + " " + line.event + " [" + line.relation + "] " +
           line.text + "\n";
  }
  return out;
}

}  // namespace gorsevalve
