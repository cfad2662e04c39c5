/// Reads files with keys or tokens, one per line, which only their owner may access.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace gorsevalve {

/// Shortest key or token, in characters.
constexpr std::size_t kMinSecretSize = 16;

struct SecretLine {
  /// Line number, from 1.
  std::uint32_t number = 0;
  std::string text;
};

/// Returns the non-empty lines. Fails when the file cannot be read, is accessible to other users,
/// or contains no such line; the error names the file.
tl::expected<std::vector<SecretLine>, std::string> read_secret_file(const std::string& path);

}  // namespace gorsevalve
