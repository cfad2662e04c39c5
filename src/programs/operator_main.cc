/// gorsevalve: command-line tool for operators.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/ascii.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "programs/api_client.h"
#include "programs/explain.h"
#include "programs/program.h"
#include "settings/settings_file.h"
#include "tasks/random_number.h"

ABSL_FLAG(std::string, id, "", "submission id; a retry with the same id has no further effect");
ABSL_FLAG(std::string, author, "", "name of the author for the audit log");
ABSL_FLAG(std::int64_t, base, -1, "settings revision the file is based on; -1 for the current one");
ABSL_FLAG(bool, wait, false, "apply: wait until every balancer has applied the settings");
ABSL_DECLARE_FLAG(std::int32_t, timeout_s);
ABSL_FLAG(bool, json, false, "print JSON");

namespace gorsevalve {
namespace {

using nlohmann::json;

const std::map<std::string, std::string>& command_help() {
  static const std::map<std::string, std::string> kHelp = {
      {"check",
       "gorsevalve check FILE\n  Checks a settings file without submitting it.\n"
       "  Exit: 0 valid, 2 invalid.\n"},
      {"apply",
       "gorsevalve apply FILE --server=IP:port,... --token_file=FILE [--wait] [--base=N]\n"
       "                [--id=ID] [--author=NAME] [--timeout_s=N]\n"
       "  Submits a complete settings file. With --wait it returns when every balancer has "
       "applied\n"
       "  it. A retry with the same --id returns the first outcome.\n"
       "  Exit: 0 accepted, 2 rejected, 3 conflict, 4 no leader reached, 5 not applied in time.\n"},
      {"evacuate",
       "gorsevalve evacuate ZONE --server=IP:port,... --token_file=FILE [--timeout_s=N]\n"
       "  Sends no new flows and requests to targets in the zone; open flows stay there. Returns\n"
       "  when a majority of the replicas has committed the command, which applies until\n"
       "  \"restore\". Repeating it has no further effect. Lists pools without targets.\n"
       "  Exit: 0 committed, 2 unknown zone, 4 no leader reached.\n"},
      {"restore",
       "gorsevalve restore ZONE --server=IP:port,... --token_file=FILE [--timeout_s=N]\n"
       "  Ends the evacuation of a zone.\n"
       "  Exit: 0 committed, 2 unknown zone, 4 no leader reached.\n"},
      {"status",
       "gorsevalve status --server=IP:port,... --token_file=FILE [--json]\n"
       "  Shows the state of the leader: revision, members and lagging members, evacuated zones\n"
       "  with the revision of the evacuation, and pools without targets because of it.\n"
       "  Exit: 0, or 4 if no leader was reached.\n"},
      {"diff",
       "gorsevalve diff FILE --server=IP:port,... --token_file=FILE\n"
       "  Shows the lines in which FILE differs from the current settings.\n"
       "  Exit: 0 equal, 3 different, 4 no leader reached.\n"},
      {"explain",
       "gorsevalve explain ID LOGFILE...\n"
       "  Collects the log lines of many nodes about a flow (client IP:port, or client>frontend),\n"
       "  a target or a version, in time order. For a flow, lines about its target and its nodes\n"
       "  are included. \"-\" reads standard input.\n"
       "  Exit: 0, or 2 if no line matches.\n"},
  };
  return kHelp;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::exit(fail(path + ": cannot be read", kExitUsage));
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

void print_errors(const std::vector<SettingsError>& errors) {
  for (const auto& error : errors) {
    std::fprintf(stderr, "%s\n", to_string(error).c_str());
  }
}

int check(const std::string& path) {
  const auto settings = parse_settings(read_file(path), path);
  if (!settings) {
    print_errors(settings.error());
    return kExitRejected;
  }
  std::size_t targets = 0;
  for (const auto& service : settings->services) {
    targets += service.targets.size();
  }
  std::printf("%s: valid: %zu services, %zu targets\n", path.c_str(), settings->services.size(),
              targets);
  return kExitOk;
}

int wait_until_applied(ApiClient& api, Revision revision) {
  const Instant deadline = monotonic_now() + std::chrono::seconds(absl::GetFlag(FLAGS_timeout_s));
  json status;
  while (monotonic_now() < deadline) {
    const auto response = api.request("GET", "/v1/status");
    if (response) {
      status = json::parse(response->body, nullptr, false);
      const bool is_committed = status.value("settings_revision", Revision{0}) >= revision;
      const std::size_t members = status.value("members", std::size_t{0});
      if (is_committed && members > 0 && status.value("in_force", std::size_t{0}) == members) {
        std::printf("applied on %zu of %zu balancers\n", members, members);
        return kExitOk;
      }
    }
    api.wait_before_retry();
  }
  std::fprintf(stderr, "not applied on every balancer within --timeout_s; lagging: %s\n",
               status.value("lagging", json::array()).dump().c_str());
  return kExitTimeout;
}

int print_rejection(const HttpClientResponse& response) {
  const json body = json::parse(response.body, nullptr, false);
  if (response.status == 409) {
    std::fprintf(stderr, "conflict: revision %llu was created by submission %s\n",
                 static_cast<unsigned long long>(body.value("revision", Revision{0})),
                 body.value("winner", std::string()).c_str());
    return kExitConflict;
  }
  for (const auto& error : body.value("errors", json::array())) {
    print_errors({{error.value("file", ""), error.value("line", 0U), error.value("field", ""),
                   error.value("message", "")}});
  }
  if (!body.contains("errors")) {
    std::fprintf(stderr, "rejected: %s\n", response.body.c_str());
  }
  return kExitRejected;
}

int apply(const std::string& path) {
  const std::string text = read_file(path);
  if (const auto settings = parse_settings(text, path); !settings) {
    print_errors(settings.error());
    return kExitRejected;
  }
  ApiClient api;
  std::int64_t base = absl::GetFlag(FLAGS_base);
  if (base < 0) {
    const auto status = api.request("GET", "/v1/status");
    if (!status) {
      return fail("no leader responded within --timeout_s", kExitUnreachable);
    }
    base = json::parse(status->body, nullptr, false).value("settings_revision", std::int64_t{0});
  }
  std::string id = absl::GetFlag(FLAGS_id);
  if (id.empty()) {
    id = std::to_string(random_number());
  }
  const json body = {{"id", id},
                     {"base_revision", base},
                     {"author", absl::GetFlag(FLAGS_author)},
                     {"file", path},
                     {"text", text}};
  const auto response = api.request("POST", "/v1/submissions", body.dump());
  if (!response) {
    return fail("no leader responded within --timeout_s; retry with --id=" + id, kExitUnreachable);
  }
  if (response->status != 200) {
    return print_rejection(*response);
  }
  const Revision revision =
      json::parse(response->body, nullptr, false).value("revision", Revision{0});
  if (absl::GetFlag(FLAGS_json)) {
    std::printf("%s\n", response->body.c_str());
  } else {
    std::printf("accepted as revision %llu\n", static_cast<unsigned long long>(revision));
  }
  return absl::GetFlag(FLAGS_wait) ? wait_until_applied(api, revision) : kExitOk;
}

void print_evacuations(const json& status) {
  for (const auto& evacuated : status.value("evacuated_zones", json::array())) {
    std::printf("  evacuated: %s since revision %llu\n",
                evacuated.value("zone", std::string("?")).c_str(),
                static_cast<unsigned long long>(evacuated.value("since_revision", 0ULL)));
  }
  for (const auto& name : status.value("without_targets", json::array())) {
    std::printf("  without targets: %s\n", name.get<std::string>().c_str());
  }
}

/// True for names that need no escaping in a URL path.
bool is_path_safe_name(const std::string& name) {
  constexpr std::string_view kOtherCharacters = "._-";
  const bool has_safe_characters = std::all_of(name.begin(), name.end(), [&](char character) {
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
           kOtherCharacters.find(character) != std::string_view::npos;
  });
  return has_safe_characters && name != "." && name != "..";
}

/// Evacuates (PUT) or restores (DELETE) a zone.
int send_evacuation(const std::string& method, const std::string& zone) {
  if (!is_path_safe_name(zone)) {
    return fail("zone \"" + zone + "\": only letters, digits, '.', '_' and '-' are allowed",
                kExitUsage);
  }
  ApiClient api;
  const auto response = api.request(method, "/v1/evacuations/" + zone);
  if (!response) {
    return fail("no leader responded within --timeout_s; retry the command", kExitUnreachable);
  }
  if (response->status != 200) {
    return print_rejection(*response);
  }
  std::printf("committed: zone %s is %s\n", zone.c_str(),
              method == "PUT" ? "evacuated" : "not evacuated");
  const auto status = api.request("GET", "/v1/status");
  if (status) {
    print_evacuations(json::parse(status->body, nullptr, false));
  }
  return kExitOk;
}

int status() {
  ApiClient api;
  const auto response = api.request("GET", "/v1/status");
  if (!response) {
    return fail("no leader responded within --timeout_s", kExitUnreachable);
  }
  const json body = json::parse(response->body, nullptr, false);
  if (absl::GetFlag(FLAGS_json)) {
    std::printf("%s\n", body.dump(2).c_str());
    return kExitOk;
  }
  std::printf("leader %s, term %llu\nsettings revision %llu applied on %zu of %zu balancers\n",
              body.value("leader", std::string("?")).c_str(),
              static_cast<unsigned long long>(body.value("term", 0ULL)),
              static_cast<unsigned long long>(body.value("settings_revision", 0ULL)),
              body.value("in_force", std::size_t{0}), body.value("members", std::size_t{0}));
  for (const auto& name : body.value("lagging", json::array())) {
    std::printf("  lagging: %s\n", name.get<std::string>().c_str());
  }
  print_evacuations(body);
  return kExitOk;
}

std::vector<std::string> split_lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

/// Prints a longest common subsequence diff. Returns the number of differing lines.
std::size_t print_diff(const std::vector<std::string>& before,
                       const std::vector<std::string>& after) {
  const std::size_t rows = before.size();
  const std::size_t columns = after.size();
  std::vector<std::vector<std::uint32_t>> common(rows + 1, std::vector<std::uint32_t>(columns + 1));
  for (std::size_t i = rows; i > 0; --i) {
    for (std::size_t j = columns; j > 0; --j) {
      common[i - 1][j - 1] = before[i - 1] == after[j - 1]
                                 ? common[i][j] + 1
                                 : std::max(common[i][j - 1], common[i - 1][j]);
    }
  }
  std::size_t i = 0;
  std::size_t j = 0;
  std::size_t differing = 0;
  while (i < rows || j < columns) {
    if (i < rows && j < columns && before[i] == after[j]) {
      ++i;
      ++j;
      continue;
    }
    ++differing;
    if (j >= columns || (i < rows && common[i + 1][j] >= common[i][j + 1])) {
      std::printf("-%s\n", before[i++].c_str());
    } else {
      std::printf("+%s\n", after[j++].c_str());
    }
  }
  return differing;
}

int diff(const std::string& path) {
  ApiClient api;
  const auto response = api.request("GET", "/v1/settings");
  if (!response) {
    return fail("no leader responded within --timeout_s", kExitUnreachable);
  }
  const json body = json::parse(response->body, nullptr, false);
  const std::size_t differing =
      print_diff(split_lines(body.value("text", std::string())), split_lines(read_file(path)));
  return differing == 0 ? kExitOk : kExitConflict;
}

void append_lines(std::istream& in, std::vector<std::string>& lines) {
  for (std::string line; std::getline(in, line);) {
    lines.push_back(std::move(line));
  }
}

int explain_id(const std::string& id, const std::vector<std::string>& paths) {
  std::vector<std::string> lines;
  for (const auto& path : paths) {
    if (path == "-") {
      append_lines(std::cin, lines);
      continue;
    }
    std::ifstream file(path);
    if (!file) {
      return fail(path + ": cannot be read", kExitUsage);
    }
    append_lines(file, lines);
  }
  const std::vector<ExplainedLine> explained = explain(id, lines);
  std::printf("%s", render_explanation(explained).c_str());
  return explained.empty() ? kExitRejected : kExitOk;
}

int run(const std::vector<char*>& words) {
  const std::string command = words.size() > 1 ? words[1] : "";
  const std::string file = words.size() > 2 ? words[2] : "";
  const bool is_explain = command == "explain";
  const bool is_evacuation = command == "evacuate" || command == "restore";
  const bool needs_file =
      command == "check" || command == "apply" || command == "diff" || is_explain || is_evacuation;
  if (!command_help().contains(command) || (needs_file && file.empty()) ||
      (is_explain && words.size() < 4)) {
    std::fprintf(stderr,
                 "usage: gorsevalve check|apply|status|diff|evacuate|restore|explain [FILE|ZONE] "
                 "[flags]; "
                 "gorsevalve COMMAND --help\n");
    return kExitUsage;
  }
  if (command == "check") {
    return check(file);
  }
  if (is_explain) {
    return explain_id(file, {words.begin() + 3, words.end()});
  }
  if (is_evacuation) {
    return send_evacuation(command == "evacuate" ? "PUT" : "DELETE", file);
  }
  if (command == "apply") {
    return apply(file);
  }
  return command == "status" ? status() : diff(file);
}

/// Prints the help of a subcommand if --help is given. Returns whether it did.
bool print_command_help(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  const bool has_help_flag = std::find(words.begin(), words.end(), "--help") != words.end();
  if (!has_help_flag || words.empty() || !command_help().contains(words.front())) {
    return false;
  }
  std::printf("%s", command_help().at(words.front()).c_str());
  return true;
}

}  // namespace
}  // namespace gorsevalve

int main(int argc, char** argv) {
  if (gorsevalve::print_command_help(argc, argv)) {
    return gorsevalve::kExitOk;
  }
  absl::SetProgramUsageMessage(
      "gorsevalve check|apply|status|diff|evacuate|restore|explain [FILE|ZONE] [flags]\n"
      "gorsevalve COMMAND --help describes one command. See docs/programs.md.");
  return gorsevalve::run(absl::ParseCommandLine(argc, argv));
}
