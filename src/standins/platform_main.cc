/// standin-platform: the platform's list of live and leaving machines. POST /live, /leaving or
/// /gone with an address as body changes it; GET /machines returns it with a delay of --lag_ms.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <deque>
#include <nlohmann/json.hpp>
#include <set>

#include "programs/program.h"
#include "tasks/http_server.h"

ABSL_FLAG(std::string, address, "", "HTTP address, IP:port");
ABSL_FLAG(std::int32_t, lag_ms, 500, "age of the list that GET /machines returns");

namespace gorsevalve {
namespace {

struct MachineList {
  std::set<std::string> live;
  std::set<std::string> leaving;
};

class Platform {
 public:
  HttpResponse on_request(const HttpRequest& request) {
    if (request.method == "GET" && request.path == "/machines") {
      return {200, "application/json", delayed_list_json()};
    }
    MachineList next = history_.empty() ? MachineList{} : history_.back().list;
    next.live.erase(request.body);
    next.leaving.erase(request.body);
    if (request.path == "/live") {
      next.live.insert(request.body);
    } else if (request.path == "/leaving") {
      next.leaving.insert(request.body);
    } else if (request.path != "/gone") {
      return {404, "application/json", "{}"};
    }
    history_.push_back({monotonic_now(), std::move(next)});
    return {200, "application/json", "{}"};
  }

 private:
  struct Snapshot {
    Instant since;
    MachineList list;
  };

  std::string delayed_list_json() {
    const Instant shown_at =
        monotonic_now() - std::chrono::milliseconds(absl::GetFlag(FLAGS_lag_ms));
    while (history_.size() > 1 && history_[1].since <= shown_at) {
      history_.pop_front();
    }
    const bool known = !history_.empty() && history_.front().since <= shown_at;
    const MachineList list = known ? history_.front().list : MachineList{};
    return nlohmann::json{{"live", list.live}, {"leaving", list.leaving}}.dump();
  }

  std::deque<Snapshot> history_;
};

int run() {
  EventLoop loop;
  Platform platform;
  HttpServer* raw = nullptr;
  auto server = HttpServer::open(loop, require_endpoint("address", absl::GetFlag(FLAGS_address)),
                                 [&](HttpServer::RequestNumber number, const HttpRequest& request) {
                                   raw->respond(number, platform.on_request(request));
                                 });
  if (!server) {
    return fail(server.error(), kExitFailure);
  }
  raw = server->get();
  handle_signals(loop, [&loop] { loop.stop(); });
  loop.run();
  return kExitOk;
}

}  // namespace
}  // namespace gorsevalve

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("standin-platform: the platform's list of machines, with a delay.");
  absl::ParseCommandLine(argc, argv);
  return gorsevalve::run();
}
