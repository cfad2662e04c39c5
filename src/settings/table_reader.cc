#include "settings/table_reader.h"

#include <algorithm>

namespace gorsevalve {

std::string TableReader::field_path(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void TableReader::add_error(std::string_view key, const std::string& message) const {
  const toml::node* node = table_->get(key);
  const toml::source_region& region = node == nullptr ? table_->source() : node->source();
  SettingsError error{file_, region.begin.line, field_path(key), message};
  const bool known = std::any_of(errors_->begin(), errors_->end(), [&](const SettingsError& other) {
    return other.field == error.field && other.message == error.message;
  });
  if (!known) {
    errors_->push_back(std::move(error));
  }
}

void TableReader::reject_unknown_keys(const std::vector<std::string_view>& known) const {
  for (const auto& [key, value] : *table_) {
    if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
      add_error(key.str(), "unknown key");
    }
  }
}

std::string TableReader::non_empty_string(std::string_view key) const {
  const auto value = (*table_)[key].value<std::string>();
  if (!value || !(*table_)[key].is_string() || value->empty()) {
    add_error(key, "must be a non-empty string");
    return {};
  }
  return *value;
}

std::int64_t TableReader::integer(std::string_view key, std::int64_t minimum,
                                  std::int64_t maximum) const {
  const auto value = (*table_)[key].value<std::int64_t>();
  if (!value || !(*table_)[key].is_integer() || *value < minimum || *value > maximum) {
    add_error(key, "must be an integer from " + std::to_string(minimum) + " to " +
                       std::to_string(maximum));
    return minimum;
  }
  return *value;
}

Endpoint TableReader::endpoint(std::string_view key) const {
  const std::string value = (*table_)[key].value_or(std::string());
  const auto parsed = parse_endpoint(value);
  if (!parsed) {
    add_error(key, "must be an address such as \"10.0.0.1:5683\"");
    return {};
  }
  return *parsed;
}

std::uint32_t TableReader::optional_integer(std::string_view key, std::uint32_t default_value,
                                            std::uint32_t minimum, std::uint32_t maximum) const {
  return table_->contains(key) ? static_cast<std::uint32_t>(integer(key, minimum, maximum))
                               : default_value;
}

bool TableReader::optional_boolean(std::string_view key, bool default_value) const {
  if (!table_->contains(key)) {
    return default_value;
  }
  if (!(*table_)[key].is_boolean()) {
    add_error(key, "must be true or false");
    return default_value;
  }
  return (*table_)[key].value_or(default_value);
}

Endpoint TableReader::optional_endpoint(std::string_view key) const {
  return table_->contains(key) ? endpoint(key) : Endpoint{};
}

std::vector<std::string> TableReader::optional_strings(std::string_view key) const {
  std::vector<std::string> values;
  if (!table_->contains(key)) {
    return values;
  }
  const toml::array* array = (*table_)[key].as_array();
  if (array == nullptr) {
    add_error(key, "must be an array of strings");
    return values;
  }
  for (const auto& element : *array) {
    const auto value = element.value<std::string>();
    if (!value || !element.is_string()) {
      add_error(key, "must be an array of strings");
      return values;
    }
    values.push_back(*value);
  }
  return values;
}

std::vector<TableReader> TableReader::tables(std::string_view key) const {
  std::vector<TableReader> readers;
  if (!table_->contains(key)) {
    return readers;
  }
  const toml::array* array = (*table_)[key].as_array();
  const bool all_tables =
      array != nullptr && std::all_of(array->begin(), array->end(),
                                      [](const toml::node& node) { return node.is_table(); });
  if (!all_tables) {
    add_error(key, "must be written as [[" + field_path(key) + "]]");
    return readers;
  }
  std::size_t index = 0;
  for (const auto& element : *array) {
    const std::string child_path = field_path(key) + "[" + std::to_string(index) + "]";
    readers.emplace_back(*element.as_table(), file_, child_path, *errors_);
    ++index;
  }
  return readers;
}

}  // namespace gorsevalve
