/// Parses and validates the declarative settings file, and checks updates of it. The format is
/// documented in docs/settings.md; a test checks that page against settings_keys().
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "model/settings.h"

namespace gorsevalve {

/// Supported version of the format.
constexpr std::int64_t kSettingsSchema = 1;
/// Largest settings file, in bytes.
constexpr std::size_t kMaxSettingsSize = 4U << 20U;

/// A reason why a file is rejected.
struct SettingsError {
  std::string file;
  /// Line in the file, from 1; 0 when the error has no line.
  std::uint32_t line = 0;
  /// Path of the field, such as "service[1].target[0].weight".
  std::string field;
  std::string message;
};

/// Formats as "file:line: field: message".
std::string to_string(const SettingsError& error);

/// Parses and validates a file. Returns all errors, not only the first.
tl::expected<Settings, std::vector<SettingsError>> parse_settings(std::string_view text,
                                                                  const std::string& file);

/// Checks that `after` may replace `before`: properties that are fixed for the lifetime of a
/// service must not change.
std::vector<SettingsError> check_change(const Settings& before, const Settings& after,
                                        const std::string& file);

/// A key of the format.
struct SettingsKey {
  /// Table of the key: "" for the top level, "service" or "target".
  std::string_view table;
  std::string_view name;
};

/// All keys of the format.
std::span<const SettingsKey> settings_keys();

}  // namespace gorsevalve
