/// Typed, checked access to one table of a settings file. Every error names file, line and field.
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
  /// `place` is the path of the table, "" for the top level. All references must outlive the
  /// reader.
  TableReader(const toml::table& table, std::string file, std::string place,
              std::vector<SettingsError>& errors)
      : table_(&table), file_(std::move(file)), place_(std::move(place)), errors_(&errors) {}

  /// Reports each key that is not among `known`.
  void refuse_unknown(const std::vector<std::string_view>& known) const;

  /// Required values. On error the error is reported and a default is given.
  [[nodiscard]] std::string text(std::string_view key) const;
  [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t minimum,
                                     std::int64_t maximum) const;
  [[nodiscard]] Endpoint endpoint(std::string_view key) const;

  [[nodiscard]] std::uint32_t optional_integer(std::string_view key, std::uint32_t otherwise,
                                               std::uint32_t minimum, std::uint32_t maximum) const;
  [[nodiscard]] bool optional_flag(std::string_view key, bool otherwise) const;
  [[nodiscard]] Endpoint optional_endpoint(std::string_view key) const;
  [[nodiscard]] std::vector<std::string> optional_texts(std::string_view key) const;

  /// The tables of an array of tables; none when it is absent.
  [[nodiscard]] std::vector<TableReader> tables(std::string_view key) const;

  /// Reports an error at a key, or at the table when the key is absent.
  void error(std::string_view key, const std::string& message) const;

  [[nodiscard]] const std::string& place() const { return place_; }

 private:
  [[nodiscard]] std::string field(std::string_view key) const;

  const toml::table* table_;
  std::string file_;
  std::string place_;
  std::vector<SettingsError>* errors_;
};

}  // namespace gorsevalve
