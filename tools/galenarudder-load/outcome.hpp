/// \file
/// Outcomes of the calls of one load run, and the report on them.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenarudder::load {

/// The outcome of one call as the client sees it.
enum class call_outcome
{
    /// A complete answer with the nonce of the call.
    answered,
    /// A complete answer without the nonce of the call: it belongs to another
    /// one.
    crossed,
    /// A complete answer with status 400 or above that is not a refusal.
    error_status,
    /// A problem document with the kind and outcome of a refusal.
    refused,
    /// The connection ended after the call was sent, before a complete answer
    /// came.
    cut,
    /// No target accepted a connection.
    unreachable,
};

/// The result of one call.
struct call_result
{
    call_outcome outcome = call_outcome::cut;
    /// Kind and outcome of a refusal, as `kind/outcome`.
    std::string refusal;
    support::duration latency{0};
};

/// Counts results. Percentiles cover the latencies of answered calls only.
class summary
{
public:
    void add(const call_result& result);

    std::uint64_t count(call_outcome outcome) const;
    std::uint64_t total() const { return total_count_; }

    /// One JSON object with counts, refusals and percentiles.
    std::string json(support::duration run_time) const;
    /// The same as text, one value a line.
    std::string table(support::duration run_time) const;

private:
    double percentile_ms(double fraction) const;

    std::uint64_t total_count_ = 0;
    std::map<call_outcome, std::uint64_t> counts_by_outcome_;
    std::map<std::string, std::uint64_t> counts_by_refusal_;
    std::vector<support::duration> answered_latencies_;
};

} // namespace galenarudder::load
