#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "settings/settings_file.h"

namespace gorsevalve {
namespace {

const std::filesystem::path kRoot = GORSEVALVE_SOURCE_DIR;

std::string read_file(const std::filesystem::path& path) {
  std::ifstream file(path);
  REQUIRE(file.good());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

const std::string kValidFile = R"(schema = 1
deployment = "d"
[[service]]
name = "s"
address = "10.0.0.1:5683"
[[service.target]]
name = "t"
address = "10.0.1.1:5683"
zone = "z"
)";

std::vector<std::string> errors_of(const std::string& text) {
  const auto parsed = parse_settings(text, "f.toml");
  REQUIRE_FALSE(parsed);
  std::vector<std::string> messages;
  for (const auto& error : parsed.error()) {
    messages.push_back(to_string(error));
  }
  return messages;
}

bool any_contains(const std::vector<std::string>& messages, const std::string& text) {
  return std::any_of(messages.begin(), messages.end(), [&](const std::string& message) {
    return message.find(text) != std::string::npos;
  });
}

}  // namespace

TEST_SUITE("settings") {
  TEST_CASE("a valid file is parsed, with default values") {
    const auto settings = parse_settings(kValidFile, "f.toml");
    REQUIRE(settings);
    CHECK(settings->services[0].targets[0].weight == 100);
    CHECK(settings->services[0].targets[0].slots == 2);
  }

  TEST_CASE("the examples are valid") {
    int count = 0;
    for (const auto& entry : std::filesystem::directory_iterator(kRoot / "examples")) {
      CHECK(parse_settings(read_file(entry.path()), entry.path().string()).has_value());
      ++count;
    }
    CHECK(count == 4);
  }

  TEST_CASE("all errors are reported with file, line and field") {
    const std::string invalid = R"(schema = 1
deployment = "d"
colour = "red"
[[service]]
name = "s"
address = "10.0.0.1"
owner_spread = 0
[[service.target]]
name = "t"
address = "10.0.1.1:5683"
zone = "z"
weight = 2000
)";
    const auto messages = errors_of(invalid);
    CHECK(any_contains(messages, "f.toml:3: colour: unknown key"));
    CHECK(any_contains(messages, "f.toml:6: service[0].address"));
    CHECK(any_contains(messages, "f.toml:7: service[0].owner_spread"));
    CHECK(any_contains(messages, "f.toml:12: service[0].target[0].weight"));
  }

  TEST_CASE("duplicate names and addresses are rejected") {
    const std::string duplicated = kValidFile + kValidFile.substr(kValidFile.find("[[service]]"));
    const auto messages = errors_of(duplicated);
    CHECK(any_contains(messages, "service[1].name"));
    CHECK(any_contains(messages, "service[1].address"));
    CHECK(any_contains(messages, "target[0].address"));
  }

  TEST_CASE("invalid syntax, a wrong schema and an oversized file are rejected") {
    CHECK(any_contains(errors_of("schema = = 1"), "f.toml:1"));
    const std::string newer = "schema = 2" + kValidFile.substr(kValidFile.find('\n'));
    CHECK(any_contains(errors_of(newer), "schema"));
    CHECK_FALSE(parse_settings(std::string(kMaxSettingsSize + 1, '#'), "f.toml"));
  }

  TEST_CASE("properties that are fixed for the lifetime of a service cannot change") {
    const Settings before = *parse_settings(kValidFile, "f");
    Settings after = before;
    after.services[0].owner_spread = before.services[0].owner_spread * 2;
    CHECK_FALSE(check_change(before, after, "f").empty());
    CHECK(check_change(before, before, "f").empty());
  }

  TEST_CASE("the reference page names every key") {
    const std::string page = read_file(kRoot / "docs" / "settings.md");
    for (const auto& key : settings_keys()) {
      std::string quoted("`");
      quoted += key.name;
      quoted += '`';
      CHECK_MESSAGE(page.find(quoted) != std::string::npos, quoted);
    }
  }
}

}  // namespace gorsevalve
