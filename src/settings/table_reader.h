/// Typed, validating access to one table of a settings file. Errors name file, line and field.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <string_view>
#include <vector>

#include "model/endpoint.h"
#include "settings/settings_file.h"

namespace gorsevalve {

class TableReader {
 public:
  /// `table_path` is the path of the table, "" for the top level. `table` and `errors` must outlive
  /// the reader.
  TableReader(const toml::table& table, std::string file, std::string table_path,
              std::vector<SettingsError>& errors)
      : table_(&table), file_(std::move(file)), path_(std::move(table_path)), errors_(&errors) {}

  /// Reports every key that is not in `known`.
  void reject_unknown_keys(const std::vector<std::string_view>& known) const;

  /// Read required values. Report a missing or invalid value and return a default for it.
  [[nodiscard]] std::string non_empty_string(std::string_view key) const;
  [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t minimum,
                                     std::int64_t maximum) const;
  [[nodiscard]] Endpoint endpoint(std::string_view key) const;

  [[nodiscard]] std::uint32_t optional_integer(std::string_view key, std::uint32_t default_value,
                                               std::uint32_t minimum, std::uint32_t maximum) const;
  [[nodiscard]] bool optional_boolean(std::string_view key, bool default_value) const;
  [[nodiscard]] Endpoint optional_endpoint(std::string_view key) const;
  [[nodiscard]] std::vector<std::string> optional_strings(std::string_view key) const;

  /// Readers for the elements of an array of tables; empty when the key is absent.
  [[nodiscard]] std::vector<TableReader> tables(std::string_view key) const;

  /// Reports an error at a key, or at the table when the key is absent. An error that was already
  /// reported for the field is not repeated.
  void add_error(std::string_view key, const std::string& message) const;

  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  [[nodiscard]] std::string field_path(std::string_view key) const;

  const toml::table* table_;
  std::string file_;
  std::string path_;
  std::vector<SettingsError>* errors_;
};

}  // namespace gorsevalve
