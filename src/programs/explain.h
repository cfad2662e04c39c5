/// Collects from many nodes' logs the lines that tell what became of one flow, target or version,
/// in the order of time: `gorsevalve explain ID LOGFILES...`.
#pragma once

#include <string>
#include <vector>

namespace gorsevalve {

/// One line of a log that belongs to the answer.
struct ExplainedLine {
  std::string time;
  std::string node;
  std::string event;
  /// Why the line was taken: "id", "target of the flow", "node of the flow".
  std::string relation;
  std::string text;
};

/// `lines` are JSON lines in any order; others are passed over. A prefix before the first brace is
/// ignored. `id` is a flow ("IP:port>IP:port", or its caller "IP:port"), the number of a target, or
/// a version. Lines of the flow's targets and of the nodes that decided on it are added when they
/// change what the node believes.
std::vector<ExplainedLine> explain(const std::string& id, const std::vector<std::string>& lines);

/// One line of text for each, ready to read.
std::string render_explanation(const std::vector<ExplainedLine>& explained);

}  // namespace gorsevalve
