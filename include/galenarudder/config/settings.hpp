/// \file
/// Settings of one daemon: its addresses, its failure domain, its store.
/// Everything that operators change while it runs is in the configuration.
#pragma once

#include "galenarudder/support/error.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
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

/// Writes an endpoint as address:port.
std::string to_string(const endpoint& where);

/// Reads a time span such as 1500ms or 2.5s.
support::result<support::milliseconds> parse_span(std::string_view text);

/// Reads address:port.
support::result<endpoint> parse_endpoint(std::string_view text);

/// A key shared by the fleet; several are accepted while keys are rotated.
struct shared_key
{
    std::string id;
    std::string secret;
};

struct daemon_settings
{
    std::string member;
    /// The failure domain, which is also the site of the overlay.
    std::string domain;
    endpoint callers;
    endpoint announcements;
    endpoint link;
    endpoint gossip;
    endpoint operators;
    endpoint store;
    /// Members to contact while the store cannot be reached.
    std::vector<endpoint> introducers;
    /// The first key signs; all of them verify.
    std::vector<shared_key> keys;
    /// Threads that serve calls.
    unsigned threads = 2;
    /// Where the deployment asks whether callers may be sent here; absent when
    /// it does not ask.
    std::optional<endpoint> readiness;
    /// The upstream on this VM, where the deployment knows it beforehand; other
    /// announcements are passed over then.
    std::optional<endpoint> upstream;
    /// The service of the upstream on this VM; empty when it is not known
    /// beforehand.
    std::string service;
    /// Time between two check-ins of an upstream.
    support::milliseconds heartbeat{1000};
    /// How long callers may still be sent here after readiness was withdrawn;
    /// the daemon leaves no sooner.
    support::milliseconds leave_notice{0};
    /// How long a starting member leaves the store's directory to others; long
    /// enough that a large fleet that starts at once does not claim in a crowd.
    support::milliseconds join_settling{10'000};
    /// Members of a failure domain that watch the store for configurations.
    std::uint32_t store_watchers = 2;
    /// Retries and hedges that all entries together may save up for one
    /// service; 0 when only each entry's own bound applies.
    double saved_extra_attempts = 0;
};

/// Parses and checks settings; \p file names the source in errors.
support::result<daemon_settings> parse_settings(std::string_view text,
                                                std::string_view file);

/// Reads settings from \p path.
support::result<daemon_settings> load_settings(const std::string& path);

/// Reads a whole file.
support::result<std::string> read_file(const std::string& path);

} // namespace galenarudder::config
