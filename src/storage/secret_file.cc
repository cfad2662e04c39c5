#include "storage/secret_file.h"

#include <sys/stat.h>

#include <cerrno>
#include <cstring>
#include <fstream>

namespace gorsevalve {

tl::expected<std::vector<SecretLine>, std::string> read_secret_file(const std::string& path) {
  struct stat status {};
  std::ifstream file(path);
  if (::stat(path.c_str(), &status) != 0 || !file) {
    return tl::unexpected(path + ": cannot be read: " + std::strerror(errno));
  }
  if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return tl::unexpected(path + ": file is accessible to other users; set its mode to 0600");
  }
  std::vector<SecretLine> lines;
  std::string text;
  for (std::uint32_t number = 1; std::getline(file, text); ++number) {
    if (!text.empty()) {
      lines.push_back({number, text});
    }
  }
  if (lines.empty()) {
    return tl::unexpected(path + ": file contains no secret");
  }
  return lines;
}

}  // namespace gorsevalve
