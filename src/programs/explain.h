/// Collects the log lines of many nodes that concern one flow, target or version, in time order:
/// `gorsevalve explain ID LOGFILES...`.
#pragma once

#include <string>
#include <vector>

namespace gorsevalve {

/// A log line that is related to the id.
struct ExplainedLine {
  std::string time;
  std::string node;
  std::string event;
  /// Why the line is included: "id", "target of the flow", "node of the flow".
  std::string relation;
  std::string text;
};

/// `lines` are JSON lines in any order. Other lines, and a prefix before the first brace, are
/// ignored. `id` is a flow ("IP:port>IP:port", or its client "IP:port"), the number of a target, or
/// a version. For a flow, lines about its targets are included, and state changes of the nodes that
/// logged it.
std::vector<ExplainedLine> explain(const std::string& id, const std::vector<std::string>& lines);

/// Formats each entry as one line of text.
std::string render_explanation(const std::vector<ExplainedLine>& explained);

}  // namespace gorsevalve
