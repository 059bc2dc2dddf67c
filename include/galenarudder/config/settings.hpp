/// \file
/// Settings of one daemon: its addresses, its failure domain, its store.
/// Everything that operators change while it runs is in the configuration.
#pragma once

#include "galenarudder/support/error.hpp"

#include <cstdint>
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
};

/// Parses and checks settings; \p file names the source in errors.
support::result<daemon_settings> parse_settings(std::string_view text,
                                                std::string_view file);

/// Reads settings from \p path.
support::result<daemon_settings> load_settings(const std::string& path);

/// Reads a whole file.
support::result<std::string> read_file(const std::string& path);

} // namespace galenarudder::config
