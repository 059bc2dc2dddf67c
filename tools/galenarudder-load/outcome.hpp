/// \file
/// What became of the calls of one load run, and its report.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenarudder::load {

/// How one call ended, as its client saw it.
enum class call_end
{
    /// A whole answer with the call's own nonce.
    answered,
    /// A whole answer that belongs to another call.
    crossed,
    /// A whole answer with the nonce and a status from the upstream's errors.
    error_status,
    /// A problem document that states kind and outcome.
    refused,
    /// The connection ended after the call was sent, before a whole answer.
    cut,
    /// No target took a connection.
    unreachable,
};

/// One ended call.
struct call_result
{
    call_end end = call_end::cut;
    /// Kind and outcome of a refusal, as `kind/outcome`.
    std::string refusal;
    support::duration latency{0};
};

/// Collects results; the latencies are those of answered calls.
class summary
{
public:
    void add(const call_result& result);

    std::uint64_t count(call_end end) const;
    std::uint64_t total() const { return total_; }

    /// One JSON object with counts, refusals and percentiles.
    std::string json(support::duration took) const;
    /// The same for people.
    std::string table(support::duration took) const;

private:
    double percentile_ms(double share) const;

    std::uint64_t total_ = 0;
    std::map<call_end, std::uint64_t> ends_;
    std::map<std::string, std::uint64_t> refusals_;
    std::vector<support::duration> latencies_;
};

} // namespace galenarudder::load
