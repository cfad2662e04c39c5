#include <doctest/doctest.h>

#include "tasks/submission_body.h"

namespace gorsevalve {

TEST_SUITE("submission_body") {
  TEST_CASE("a complete body is parsed") {
    const auto body = parse_submission_body(
        R"({"id":"a","base_revision":3,"text":"schema = 1","author":"me","file":"f.toml"})");
    REQUIRE(body);
    CHECK(body->id == "a");
    CHECK(body->base_revision == 3);
    CHECK(body->author == "me");
    CHECK(body->file == "f.toml");
  }

  TEST_CASE("errors name the field that is missing or has the wrong type") {
    const auto error = [](const std::string& text) {
      const auto body = parse_submission_body(text);
      REQUIRE_FALSE(body);
      return body.error();
    };
    CHECK(error("[]").find("object") != std::string::npos);
    CHECK(error("{").find("object") != std::string::npos);
    CHECK(error(R"({"id":"a","base_revision":1,"text":"x","author":5})").find("author") == 0);
    CHECK(error(R"({"id":"a","base_revision":1,"text":"x","file":{}})").find("file") == 0);
    CHECK(error(R"({"id":"","base_revision":1,"text":"x"})").find("id") == 0);
    CHECK(error(R"({"id":"a","base_revision":-1,"text":"x"})").find("base_revision") == 0);
    CHECK(error(R"({"id":"a","base_revision":1})").find("text") == 0);
  }
}

}  // namespace gorsevalve
