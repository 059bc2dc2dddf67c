/// \file
/// How entry and gate prove to each other that they hold a key of the fleet
/// before any call passes between them.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/call.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace galenarudder::link {

/// Who signs.
enum class handshake_side
{
    entry,
    gate
};

/// What both signatures cover. Each side contributes a fresh challenge, so a
/// recorded handshake cannot be repeated.
struct handshake_terms
{
    support::member_id entry;
    support::member_id gate;
    std::uint64_t epoch = 0;
    std::string entry_challenge;
    std::string gate_challenge;
};

struct handshake_proof
{
    std::string key_id;
    std::string signature;
};

/// Returns fresh random bytes.
std::string make_challenge();

/// Whether \p challenge has the size that a challenge must have.
bool is_challenge(const std::string& challenge);

/// Signs with the first of \p keys.
handshake_proof prove(const std::vector<config::shared_key>& keys,
                      handshake_side side,
                      const handshake_terms& terms);

/// Accepts any of \p keys, so that keys can be rotated while links open.
bool holds(const std::vector<config::shared_key>& keys,
           handshake_side side,
           const handshake_terms& terms,
           const handshake_proof& proof);

} // namespace galenarudder::link
