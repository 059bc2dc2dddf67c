/// \file
/// Results of the calls of a replay and their JSON form.
#pragma once

#include "fake_upstream.hpp"
#include "trace.hpp"

#include "galenarudder/support/refusal.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace galenarudder::replay {

/// Results of the calls of one rank.
struct rank_outcome
{
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused_not_run = 0;
    /// Refusals that leave open whether the call ran, and answers with a status
    /// of 500 or more.
    std::uint64_t unknown = 0;
    /// Of answered calls.
    std::vector<double> latencies_ms;
};

/// How often upstreams ran one call, and what the caller was told.
struct run_record
{
    std::uint64_t runs = 0;
    /// Whether the call may run more than once.
    bool repeatable = false;
    /// Whether the caller got a refusal that says the call did not run.
    bool refused_not_run = false;
};

struct replay_outcome
{
    std::vector<rank_outcome> ranks;
    std::vector<run_record> calls;
    double duration_ms = 0;
};

/// Returns the JSON object of one replay; equal outcomes give equal bytes.
std::string to_json(const trace& recorded,
                    const std::string& policy,
                    const replay_outcome& outcome,
                    const std::vector<std::unique_ptr<fake_upstream>>& fleet);

} // namespace galenarudder::replay
