/// The declarative settings file: reading with checks, and the rules for changing it.
/// The format is described in docs/settings.md; a test holds that page against kSettingsKeys.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "model/settings.h"

namespace gorsevalve {

/// Version of the format that this program reads.
constexpr std::int64_t kSettingsSchema = 1;
/// Largest settings file, in octets.
constexpr std::size_t kMaxSettingsSize = 4U << 20U;

/// One reason why a file is refused.
struct SettingsError {
  std::string file;
  /// Line in the file, from 1; 0 when the error has no place.
  std::uint32_t line = 0;
  /// The field, as a path such as "service[1].target[0].weight".
  std::string field;
  std::string message;
};

/// "file:line: field: message".
std::string to_string(const SettingsError& error);

/// Reads and checks a file. All errors are given, not just the first.
tl::expected<Settings, std::vector<SettingsError>> parse_settings(std::string_view text,
                                                                  const std::string& file);

/// Checks that `state_after` may follow `before`: what is fixed for the life of a service stays.
std::vector<SettingsError> check_change(const Settings& before, const Settings& after,
                                        const std::string& file);

/// One key of the format.
struct SettingsKey {
  /// "" for the top level, "service" or "target".
  std::string_view table;
  std::string_view name;
};

/// All keys of the format.
std::span<const SettingsKey> settings_keys();

}  // namespace gorsevalve
