#include <doctest/doctest.h>

#include <set>

#include "core/steering/steering_policy.h"

namespace gorsevalve {

TEST_SUITE("steering_policy") {
  TEST_CASE("fields are parsed by name and formatted if they differ from the defaults") {
    const auto policy = parse_policy("near_preference=1,hold_ms=250.5");
    REQUIRE(policy.has_value());
    CHECK(policy->near_preference == 1);
    CHECK(policy->hold_ms == 250.5);
    CHECK(policy->load_step == SteeringPolicy{}.load_step);
    CHECK(to_string(*policy) == "hold_ms=250.5,near_preference=1");
    CHECK(to_string(*parse_policy("")).empty());
  }

  TEST_CASE("errors name the invalid field") {
    CHECK(parse_policy("nearness=1").error() == "unknown policy field \"nearness\"");
    CHECK(parse_policy("near_preference=0").error() ==
          "near_preference: must be a number from 1 to 1000, not \"0\"");
    CHECK(parse_policy("hold_ms").error().find("hold_ms: must be a number") == 0);
    CHECK(parse_policy("hold_ms=nan").error().find("hold_ms: must be a number") == 0);
    CHECK(parse_policy("hold_ms=1x").error().find("hold_ms: must be a number") == 0);
  }

  TEST_CASE("every field has its own name, and its default lies within its bounds") {
    std::set<std::string_view> names;
    const SteeringPolicy defaults;
    for (const auto& field : policy_fields()) {
      CHECK(names.insert(field.name).second);
      CHECK(defaults.*(field.value) >= field.min_value);
      CHECK(defaults.*(field.value) <= field.max_value);
    }
    CHECK(names.size() * sizeof(double) == sizeof(SteeringPolicy));
  }
}

}  // namespace gorsevalve
