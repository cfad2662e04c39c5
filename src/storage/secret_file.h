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

/// Returns the non-empty lines. The error names the file, which cannot be read, is accessible to
/// other users, or contains no secret.
tl::expected<std::vector<SecretLine>, std::string> read_secret_file(const std::string& path);

}  // namespace gorsevalve
