/// \file
/// Settings of one daemon, such as its addresses, its failure domain and its
/// store. What operators change while daemons run is in the configuration
/// instead.
#pragma once

#include "galenarudder/support/error.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::config {

/// An IP address with a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Returns the endpoint as address:port; an IPv6 address is put in brackets.
std::string to_string(const endpoint& socket_address);

/// Parses a duration such as 1500ms or 2.5s.
support::result<support::milliseconds> parse_duration(std::string_view text);

/// Parses an endpoint of the form address:port.
support::result<endpoint> parse_endpoint(std::string_view text);

/// A secret key shared by all daemons. During key rotation several keys are
/// valid at the same time.
struct shared_key
{
    std::string id;
    std::string secret;

    friend bool operator==(const shared_key&, const shared_key&) = default;
};

/// The settings of one daemon. Each field holds the setting of the same name.
struct daemon_settings
{
    /// Id of this member.
    std::string member;
    /// The failure domain, which is also the site whose overlay applies.
    std::string domain;
    /// Addresses on which the daemon listens, except store: the address to
    /// which it connects.
    endpoint callers;
    endpoint announcements;
    endpoint link;
    endpoint gossip;
    endpoint operators;
    endpoint store;
    /// Gossip addresses of members to contact while the store is unreachable.
    std::vector<endpoint> introducers;
    /// Messages are signed with the first key and verified with any of them.
    std::vector<shared_key> keys;
    /// Number of threads that serve calls.
    unsigned threads = 2;
    /// Address of the readiness port, where the deployment asks whether callers
    /// may be sent to this daemon; empty if there is no readiness port.
    std::optional<endpoint> readiness;
    /// Address of the upstream on this VM, if the deployment knows it in
    /// advance. Only the platform's announcement port uses it: it then ignores
    /// announcements of other addresses.
    std::optional<endpoint> upstream;
    /// Service of the upstream on this VM; empty if it is not known in advance.
    std::string service;
    /// Interval at which the upstream announces itself. An upstream that missed
    /// several announcements in a row is considered gone.
    support::milliseconds heartbeat{1000};
    /// Time for which callers may still be sent to this daemon after it stopped
    /// reporting ready. The daemon does not stop before this time is over.
    support::milliseconds leave_notice{0};
    /// Time from SIGTERM to the end of the process that the deployment allows;
    /// 0 if it sets no bound.
    support::milliseconds stop_timeout{0};
    /// Time that a starting member waits before it tries to claim a slot in the
    /// store's introducer directory. It should be long enough that the members
    /// of a large fleet that start together do not all try to claim a slot at
    /// once.
    support::milliseconds join_settling{10'000};
    /// Number of members in each failure domain that watch the store for new
    /// configurations.
    std::uint32_t store_watchers = 2;
    /// Maximum number of retries and hedges that all entries together may
    /// accumulate in the retry budgets of one service; 0 to apply only the
    /// bound of each entry.
    double saved_extra_attempts = 0;
    /// Region of this daemon's failure domain; empty if there are no regions.
    std::string region;
    /// Region of each failure domain, the own one included.
    std::map<std::string, std::string> domain_regions;
    /// Calls answered in time that are worth as much as a megabyte of traffic
    /// between failure domains of a region, and between regions. With 0 for
    /// both, calls have no preference for near upstreams.
    double domain_crossing_calls_per_mb = 0;
    double region_crossing_calls_per_mb = 0;
    /// By how much the calls of an organisation that run in one window may
    /// exceed its limit: a share of the limit, and a number of calls.
    support::milliseconds organisation_window{5000};
    double organisation_overrun_share = 0;
    double organisation_overrun_calls = 0;
    /// Whether operators may empty failure domains by keys of the store.
    bool empty_domains = false;
};

/// Parses and validates settings. Errors name \p file as the source, except
/// those of an introducer's address.
support::result<daemon_settings> parse_settings(std::string_view text,
                                                std::string_view file);

/// Reads and validates the settings file at \p path.
support::result<daemon_settings> load_settings(const std::string& path);

/// Returns the content of the file at \p path.
support::result<std::string> read_file(const std::string& path);

} // namespace galenarudder::config
