#include "tasks/target_poller.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace gorsevalve {

std::optional<TargetReport> parse_target_report(const Endpoint& target, const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto healthy = json.find("healthy");
  const auto connections = json.find("connections");
  const auto running = json.find("running");
  const bool complete = healthy != json.end() && healthy->is_boolean() &&
                        connections != json.end() && connections->is_number_unsigned() &&
                        running != json.end() && running->is_number_unsigned();
  if (!complete) {
    return std::nullopt;
  }
  return TargetReport{target, healthy->get<bool>(), connections->get<std::uint32_t>(),
                      running->get<std::uint32_t>()};
}

TargetPoller::TargetPoller(EventLoop& loop, Sink sink)
    : client_(loop, kTimeout), sink_(std::move(sink)) {}

void TargetPoller::poll(const std::vector<Target>& targets) {
  for (const auto& target : targets) {
    HttpClientRequest request;
    request.server = target.health;
    request.path = "/health";
    client_.send(std::move(request), [this, address = target.address](HttpClient::Result result) {
      TargetReport failed;
      failed.target = address;
      failed.healthy = false;
      const bool succeeded = result && result->status == 200;
      const auto report = succeeded ? parse_target_report(address, result->body) : std::nullopt;
      sink_(report.value_or(failed));
    });
  }
}

}  // namespace gorsevalve
