/// Tunable parameters of target selection and packet buffering. Each mechanism is one number, which
/// makes it possible to disable and evaluate it separately.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace gorsevalve {

struct SteeringPolicy {
  /// Maximum time for which a starting balancer buffers a packet, in milliseconds; shorter than the
  /// handshake timeout of clients.
  double hold_ms = 1200;
  /// Retransmissions of an opening packet that go to the first target: packet loss is more likely
  /// than a target failure, and replies of two targets can split a flow.
  double copies_at_same_target = 1;
  /// Consecutive unanswered opening packets after which a target is avoided temporarily.
  double suspect_after = 2;
  /// 1: targets that refuse flows are avoided and reported.
  double refusals = 1;
  /// 1: requests without a response are reported.
  double stalls = 1;
  /// 1: suspected targets are probed, and flows at unreachable ones are reset.
  double probes = 1;
  /// 1: targets past the expected handshake time are probed, and refusals are reported to other
  /// balancers immediately.
  double refusal_probes = 1;
  /// 1: when a target refuses, other targets of its zone are probed too.
  double looks_around = 1;
  /// Loads within one step count as equal, which lets the health reported by all balancers decide.
  double load_step = 1;
  /// Weight of a request in flight, in open flows.
  double busy_weight = 2;
  /// Factor on the load of a target that is warming up.
  double cold_penalty = 1.6;
  /// Multiple of the pool's median response time from which a target counts as slow.
  double slow_factor = 1.8;
  /// How strongly load reported by all balancers decides between equal local loads. Selection is
  /// weighted, not strict: all balancers get the same report and would otherwise overload one
  /// target.
  double pressure_exponent = 4;
  /// Weight of a target in the local zone relative to one elsewhere; traffic between zones is
  /// expensive.
  double near_preference = 4;
  /// Targets examined per new flow in a larger pool; 0 for all. The least loaded target of a random
  /// sample is nearly as good as that of the pool (Mitzenmacher, "The power of two choices in
  /// randomized load balancing", 2001, for samples of two), at a cost independent of the pool size.
  /// Without a healthy target in the sample, all are examined.
  double sample = 128;
};

/// A policy parameter with its bounds and description.
struct PolicyField {
  std::string_view name;
  double SteeringPolicy::*value;
  double min_value;
  double max_value;
  std::string_view description;
};

/// All fields, in the order of their declaration in SteeringPolicy.
std::span<const PolicyField> policy_fields();

/// Parses "name=value,name=value" over the defaults; an error names the field.
tl::expected<SteeringPolicy, std::string> parse_policy(const std::string& text);

/// Formats the fields that differ from the defaults for `parse_policy`; empty if none do.
std::string to_string(const SteeringPolicy& policy);

}  // namespace gorsevalve
