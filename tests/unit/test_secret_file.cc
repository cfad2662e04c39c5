#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "codec/envelope.h"
#include "storage/secret_file.h"

namespace gorsevalve {
namespace {

/// A temporary file that the destructor removes.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("gorsevalve-secret-" + std::to_string(::getpid()))) {
    std::ofstream(path_) << text;
    permit(std::filesystem::perms::owner_read);
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  void permit(std::filesystem::perms permissions) const {
    std::filesystem::permissions(path_, permissions);
  }
  [[nodiscard]] std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

}  // namespace

TEST_SUITE("secret_file") {
  TEST_CASE("non-empty lines are read with their line numbers") {
    const TemporaryFile file("first\n\nthird\n");
    const auto lines = read_secret_file(file.path());
    REQUIRE(lines);
    REQUIRE(lines->size() == 2);
    CHECK((*lines)[1].number == 3);
    CHECK((*lines)[1].text == "third");
  }

  TEST_CASE("a file that is accessible to other users or missing is rejected") {
    const TemporaryFile file("secret\n");
    file.permit(std::filesystem::perms::owner_read | std::filesystem::perms::group_read);
    CHECK(read_secret_file(file.path()).error().find("0600") != std::string::npos);
    CHECK(read_secret_file("/nonexistent/keys").error().find("cannot be read") !=
          std::string::npos);
  }

  TEST_CASE("a short key is rejected with its line number") {
    const TemporaryFile file("a-key-of-20-characters\nshort\n");
    CHECK(read_key_file(file.path()).error().find(":2: ") != std::string::npos);
  }
}

}  // namespace gorsevalve
