/// \file
/// Decides when a call leaves the failure domain or the region of its entry.
/// Links between domains are slower and their traffic is billed, yet the
/// upstreams of one domain are sometimes too few.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>

namespace galenarudder::routing {

/// How far an upstream is from an entry, nearest first.
enum class distance
{
    same_domain,
    same_region,
    other_region
};
inline constexpr std::size_t distance_count = 3;

/// Why a call was sent to a certain distance.
enum class crossing_reason
{
    /// It stays in its failure domain.
    none,
    /// No nearer upstream can be used.
    no_nearer_upstream,
    /// All nearer upstreams are expected to miss the call's deadline.
    deadline,
    /// The chance to be in time is so much greater that it is worth the bytes.
    gain,
    /// It stays, though leaving would pay: the share of calls that may leave
    /// now is used up.
    held_back
};
inline constexpr std::size_t crossing_reason_count = 5;

std::string_view to_string(distance length);
std::string_view to_string(crossing_reason reason);

/// Domains with their regions, and what traffic between them is worth.
struct crossing_settings
{
    std::string own_domain;
    /// Region of each failure domain. Domains that are not listed are in the
    /// region of the entry.
    std::map<std::string, std::string> domain_regions;
    /// Number of calls answered in time that are worth as much as a megabyte of
    /// traffic, by the distance that it crosses.
    std::array<double, distance_count> calls_per_mb{};

    /// Returns whether calls prefer near upstreams at all.
    bool enabled() const;
    /// Returns the region of \p domain; empty if it is not listed.
    std::string region_of(const std::string& domain) const;
    distance distance_to(const std::string& domain) const;
};

/// What the decision about one call depends on.
struct crossing_inputs
{
    static constexpr double no_upstream =
        std::numeric_limits<double>::infinity();

    /// Expected completion in milliseconds of the best upstream at each
    /// distance, or no_upstream.
    std::array<double, distance_count> completion_ms{no_upstream, no_upstream,
                                                     no_upstream};
    /// Time until the call is late; infinite if its route has no goal.
    double goal_ms = no_upstream;
    /// Time until the deadline.
    double deadline_ms = no_upstream;
    /// Expected size of request and response.
    double bytes = 0;
    /// Number of upstreams that the call has tried in vain.
    std::size_t tried = 0;
};

struct crossing_choice
{
    distance target = distance::same_domain;
    crossing_reason reason = crossing_reason::none;
};

/// Returns the estimated probability, 0 to 1, that a call is late that is
/// expected to complete in \p completion_ms and has \p goal_ms until it is.
double lateness_risk(double completion_ms, double goal_ms);

/// Returns the nearest distance from which going farther does not pay. A call
/// goes farther when that lowers its lateness_risk by more than its bytes are
/// worth.
crossing_choice choose_distance(const crossing_inputs& inputs,
                                const crossing_settings& settings);

/// Limits the share of a service's calls that leave for a gain. The loads that
/// an entry knows are old, and all entries get the same reports. Without this
/// limit all would leave, and return, at once. Thread-safe.
class crossing_share
{
public:
    /// Returns whether a call that leaves for a gain may leave. \p unit_random
    /// is a random number in [0, 1).
    bool permit(double max_share, double unit_random);
    /// Records a call that stays since it has nothing to gain.
    void on_stayed();
    /// Returns the share of recent calls that had something to gain.
    double wanted() const { return wanted_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> wanted_{0};
};

/// Calls of one entry by distance and reason, and bytes by distance.
struct crossing_counters
{
    std::array<std::array<std::atomic<std::uint64_t>, crossing_reason_count>,
               distance_count>
        calls{};
    std::array<std::atomic<std::uint64_t>, distance_count> bytes{};

    void count(const crossing_choice& choice)
    {
        calls.at(static_cast<std::size_t>(choice.target))
            .at(static_cast<std::size_t>(choice.reason))
            .fetch_add(1, std::memory_order_relaxed);
    }
};

} // namespace galenarudder::routing
