/// \file
/// What became of the calls of a replay, and its JSON form.
#pragma once

#include "fake_upstream.hpp"
#include "trace.hpp"

#include "galenarudder/support/refusal.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace galenarudder::replay {

struct rank_outcome
{
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t unknown = 0;
    std::vector<double> latencies_ms;
};

/// How often one call ran at upstreams, and whether it may.
struct run_record
{
    std::uint64_t runs = 0;
    bool repeatable = false;
    bool refused_not_run = false;
};

struct replay_outcome
{
    std::vector<rank_outcome> ranks;
    std::vector<run_record> calls;
    double duration_ms = 0;
};

/// Writes the object of one replay; equal outcomes give equal bytes.
std::string to_json(const trace& given,
                    const std::string& policy,
                    const replay_outcome& outcome,
                    const std::vector<std::unique_ptr<fake_upstream>>& fleet);

} // namespace galenarudder::replay
