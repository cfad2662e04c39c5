#include "settings/settings_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>

#include "settings/table_reader.h"

namespace gorsevalve {
namespace {

constexpr std::array kKeys = {
    SettingsKey{"", "schema"},
    SettingsKey{"", "deployment"},
    SettingsKey{"", "service"},
    SettingsKey{"service", "name"},
    SettingsKey{"service", "address"},
    SettingsKey{"service", "repeatable_paths"},
    SettingsKey{"service", "once_only_paths"},
    SettingsKey{"service", "request_timeout_ms"},
    SettingsKey{"service", "owner_spread"},
    SettingsKey{"service", "queue_limit"},
    SettingsKey{"service", "retry_after_min_s"},
    SettingsKey{"service", "retry_after_max_s"},
    SettingsKey{"service", "target"},
    SettingsKey{"target", "name"},
    SettingsKey{"target", "address"},
    SettingsKey{"target", "zone"},
    SettingsKey{"target", "weight"},
    SettingsKey{"target", "draining"},
    SettingsKey{"target", "slots"},
    SettingsKey{"target", "max_connections"},
    SettingsKey{"target", "health"},
};

std::vector<std::string_view> keys_of(std::string_view table) {
  std::vector<std::string_view> names;
  for (const auto& key : kKeys) {
    if (key.table == table) {
      names.push_back(key.name);
    }
  }
  return names;
}

std::vector<std::string> read_paths(TableReader& reader, std::string_view key) {
  std::vector<std::string> paths = reader.optional_strings(key);
  for (const auto& path : paths) {
    if (path.empty() || path.front() != '/') {
      reader.add_error(key, "path \"" + path + "\" must begin with /");
    }
  }
  return paths;
}

Target read_target(TableReader& reader) {
  reader.reject_unknown_keys(keys_of("target"));
  Target target;
  target.name = reader.non_empty_string("name");
  target.address = reader.endpoint("address");
  target.zone = reader.non_empty_string("zone");
  target.weight = reader.optional_integer("weight", target.weight, 1, 1000);
  target.draining = reader.optional_boolean("draining", false);
  target.slots = reader.optional_integer("slots", target.slots, 1, 1024);
  target.max_connections =
      reader.optional_integer("max_connections", target.max_connections, 1, 1000000);
  target.health = reader.optional_endpoint("health");
  return target;
}

Service read_service(TableReader& reader) {
  reader.reject_unknown_keys(keys_of("service"));
  Service service;
  service.name = reader.non_empty_string("name");
  service.address = reader.endpoint("address");
  service.repeatable_paths = read_paths(reader, "repeatable_paths");
  service.once_only_paths = read_paths(reader, "once_only_paths");
  service.request_timeout_ms =
      reader.optional_integer("request_timeout_ms", service.request_timeout_ms, 100, 60000);
  service.owner_spread = reader.optional_integer("owner_spread", service.owner_spread, 1, 65536);
  service.queue_limit = reader.optional_integer("queue_limit", service.queue_limit, 1, 100000);
  service.retry_after_min_s =
      reader.optional_integer("retry_after_min_s", service.retry_after_min_s, 1, 255);
  service.retry_after_max_s =
      reader.optional_integer("retry_after_max_s", service.retry_after_max_s, 1, 255);
  if (service.retry_after_min_s > service.retry_after_max_s) {
    reader.add_error("retry_after_min_s", "must not be greater than retry_after_max_s");
  }
  for (const auto& path : service.repeatable_paths) {
    const auto& once_only = service.once_only_paths;
    if (std::find(once_only.begin(), once_only.end(), path) != once_only.end()) {
      reader.add_error("repeatable_paths",
                       "path \"" + path + "\" is also listed in once_only_paths");
    }
  }
  for (auto& child : reader.tables("target")) {
    service.targets.push_back(read_target(child));
  }
  if (service.targets.empty()) {
    reader.add_error("target", "a service needs at least one target");
  }
  return service;
}

/// Reports names and addresses that are used more than once.
class UniquenessCheck {
 public:
  void add(const std::string& kind, const std::string& value, const std::string& table_path,
           const TableReader& reader, std::string_view key) {
    const auto [found, is_new] = seen_.emplace(kind + " " + value, table_path);
    if (!is_new) {
      reader.add_error(
          key, kind + " " + value + " is a duplicate (already used by " + found->second + ")");
    }
  }

 private:
  std::map<std::string, std::string> seen_;
};

void check_unique(const Settings& settings, TableReader& root) {
  UniquenessCheck check;
  auto services = root.tables("service");
  for (std::size_t i = 0; i < settings.services.size(); ++i) {
    const Service& service = settings.services[i];
    check.add("service name", service.name, services[i].path(), services[i], "name");
    check.add("address", to_string(service.address), services[i].path(), services[i], "address");
    auto targets = services[i].tables("target");
    for (std::size_t j = 0; j < service.targets.size(); ++j) {
      const Target& target = service.targets[j];
      check.add("target name", target.name, targets[j].path(), targets[j], "name");
      check.add("address", to_string(target.address), targets[j].path(), targets[j], "address");
    }
  }
}

}  // namespace

std::span<const SettingsKey> settings_keys() { return kKeys; }

std::string to_string(const SettingsError& error) {
  std::string text = error.file;
  if (error.line > 0) {
    text += ":" + std::to_string(error.line);
  }
  text += ": ";
  if (!error.field.empty()) {
    text += error.field + ": ";
  }
  return text + error.message;
}

tl::expected<Settings, std::vector<SettingsError>> parse_settings(std::string_view text,
                                                                  const std::string& file) {
  std::vector<SettingsError> errors;
  if (text.size() > kMaxSettingsSize) {
    errors.push_back({file, 0, "", "the file is larger than 4 MiB"});
    return tl::unexpected(std::move(errors));
  }
  toml::table table;
  try {
    table = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    errors.push_back({file, error.source().begin.line, "", std::string(error.description())});
    return tl::unexpected(std::move(errors));
  }
  TableReader root(table, file, "", errors);
  root.reject_unknown_keys(keys_of(""));
  const std::int64_t schema = root.integer("schema", 0, 1000000);
  if (errors.empty() && schema != kSettingsSchema) {
    root.add_error("schema", "unsupported schema, expected 1, got " + std::to_string(schema));
  }
  Settings settings;
  settings.deployment = root.non_empty_string("deployment");
  for (auto& child : root.tables("service")) {
    settings.services.push_back(read_service(child));
  }
  check_unique(settings, root);
  if (!errors.empty()) {
    std::stable_sort(
        errors.begin(), errors.end(),
        [](const SettingsError& a, const SettingsError& b) { return a.line < b.line; });
    return tl::unexpected(std::move(errors));
  }
  return settings;
}

std::vector<SettingsError> check_change(const Settings& before, const Settings& after,
                                        const std::string& file) {
  std::vector<SettingsError> errors;
  if (!before.deployment.empty() && before.deployment != after.deployment) {
    errors.push_back(
        {file, 0, "deployment",
         "is \"" + after.deployment + "\", but this fleet runs \"" + before.deployment + "\""});
  }
  for (const auto& service : after.services) {
    const auto previous = std::find_if(
        before.services.begin(), before.services.end(),
        [&](const Service& candidate) { return candidate.address == service.address; });
    if (previous != before.services.end() && previous->owner_spread != service.owner_spread) {
      errors.push_back({file, 0, "service \"" + service.name + "\": owner_spread",
                        "cannot be changed while the service exists (current value: " +
                            std::to_string(previous->owner_spread) + ")"});
    }
  }
  return errors;
}

}  // namespace gorsevalve
