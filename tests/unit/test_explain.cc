/// Traces failed requests and a version to their cause in the log lines of the programs.
#include <doctest/doctest.h>

#include "programs/explain.h"

namespace gorsevalve {
namespace {

std::string line(const std::string& time, const std::string& node, const std::string& event,
                 const std::string& rest) {
  return R"({"time":"2026-01-01T00:00:)" + time + R"(Z","level":"info","event":")" + event +
         R"(","node":")" + node + R"(","zone":"z")" + (rest.empty() ? "" : "," + rest) + "}";
}

const std::string kFlow = "100.64.0.7:40001>198.18.0.1:443";

std::vector<std::string> events_of(const std::vector<ExplainedLine>& explained) {
  std::vector<std::string> events;
  events.reserve(explained.size());
  for (const auto& explained_line : explained) {
    events.push_back(explained_line.event);
  }
  return events;
}

}  // namespace

TEST_SUITE("explain") {
  TEST_CASE("rejected flow: the decision with reason no_target is found by client address") {
    const auto explained =
        explain("100.64.0.7:40001",
                {line("05.000", "edge-1", "flow_decision",
                      R"("flow":")" + kFlow + R"(","reason":"no_target","target":0,"revision":9)"),
                 line("04.000", "core-1", "target_ended", R"("target":77)"),
                 line("05.500", "edge-1", "flow_decision",
                      R"("flow":"100.64.0.8:1>198.18.0.1:443","reason":"placed","target":5)")});
    REQUIRE(explained.size() == 1);
    CHECK(explained[0].text.find("no_target") != std::string::npos);
  }

  TEST_CASE("reset because the target ended: the end of the target precedes the reset") {
    const auto explained =
        explain(kFlow, {line("09.000", "edge-2", "flow_decision",
                             R"("flow":")" + kFlow + R"(","reason":"target_replaced","target":0)"),
                        line("01.000", "edge-1", "flow_decision",
                             R"("flow":")" + kFlow + R"(","reason":"placed","target":77)"),
                        line("07.000", "core-1", "target_ended", R"("target":77)"),
                        line("03.000", "core-1", "target_ended", R"("target":78)")});
    CHECK(events_of(explained) ==
          std::vector<std::string>{"flow_decision", "target_ended", "flow_decision"});
    CHECK(explained[1].relation == "target of the flow");
  }

  TEST_CASE("reset because the target is unreachable: the detection follows the placement") {
    const auto explained = explain(
        kFlow, {line("01.000", "edge-1", "flow_decision",
                     R"("flow":")" + kFlow + R"(","reason":"placed","target":77)"),
                line("03.000", "edge-1", "target_unreachable",
                     R"("target":77,"reason":"silent","probes":3,"took_ms":125,"flows_reset":2)"),
                line("03.000", "edge-1", "target_unreachable", R"("target":78,"probes":3)")});
    CHECK(events_of(explained) == std::vector<std::string>{"flow_decision", "target_unreachable"});
    CHECK(explained[1].relation == "target of the flow");
  }

  TEST_CASE("delayed because the node restarted: the restart follows the decision") {
    const auto explained =
        explain(kFlow, {line("01.000", "edge-1", "flow_decision",
                             R"("flow":")" + kFlow + R"(","reason":"placed","target":77)"),
                        line("02.000", "edge-1", "starting", ""),
                        line("02.100", "edge-1", "ready", R"("revision":9)"),
                        line("02.200", "edge-9", "ready", R"("revision":9)"),
                        "not a line of the log", "  12.3 edge-1 {\"half\":"});
    CHECK(events_of(explained) == std::vector<std::string>{"flow_decision", "starting", "ready"});
    CHECK(explained[1].relation == "node of the flow");
  }

  TEST_CASE("a version is traced from its submission to the nodes") {
    const auto explained =
        explain("12", {line("02.000", "edge-1", "revision_in_force", R"("operator_version":12)"),
                       line("01.000", "core-1", "steering_submitted", R"("version":12)"),
                       line("01.010", "core-1", "steering_decided", R"("version":12)"),
                       line("01.500", "core-1", "steering_submitted", R"("version":13)")});
    CHECK(events_of(explained) ==
          std::vector<std::string>{"steering_submitted", "steering_decided", "revision_in_force"});
  }
}

}  // namespace gorsevalve
