/// What a balancer goes by when it chooses targets and when it admits what it held. Each mechanism
/// is one number, so that it can be switched off alone and its worth be measured.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace gorsevalve {

struct SteeringPolicy {
  double hold_ms = 1200;
  double copies_at_same_target = 1;
  double suspect_after = 2;
  double refusals = 1;
  double stalls = 1;
  double load_step = 1;
  double busy_weight = 2;
  double cold_penalty = 1.6;
  double slow_factor = 1.8;
  double pressure_exponent = 4;
  double near_preference = 4;
};

/// One number of a policy: its name, its bounds, and what it does.
struct PolicyField {
  std::string_view name;
  double SteeringPolicy::*value;
  double least;
  double greatest;
  std::string_view meaning;
};

/// All fields, in the order of docs/POLICY.md.
std::span<const PolicyField> policy_fields();

/// Reads "name=value,name=value" over the defaults; an error names the field.
tl::expected<SteeringPolicy, std::string> parse_policy(const std::string& text);

/// The fields that differ from the defaults, as `parse_policy` reads them; empty for none.
std::string to_string(const SteeringPolicy& policy);

}  // namespace gorsevalve
