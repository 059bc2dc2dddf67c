/// \file
/// Mutual authentication of entry and gate with the fleet's shared keys, before
/// any call passes between them.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/call.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace galenarudder::link {

/// The side of a link that signs.
enum class handshake_role
{
    entry,
    gate
};

/// The data that both signatures cover. Each side contributes a fresh random
/// challenge, so a recorded handshake cannot be replayed.
struct handshake_transcript
{
    support::member_id entry;
    support::member_id gate;
    std::uint64_t epoch = 0;
    std::string entry_challenge;
    std::string gate_challenge;
};

/// A signature and the id of the key that made it.
struct handshake_proof
{
    std::string key_id;
    std::string signature;
};

/// Returns challenge_bytes random bytes.
std::string make_challenge();

/// Returns whether \p challenge has the required size.
bool is_valid_challenge(const std::string& challenge);

/// Signs \p transcript with the first of \p keys.
handshake_proof sign_handshake(const std::vector<config::shared_key>& keys,
                               handshake_role role,
                               const handshake_transcript& transcript);

/// Returns whether \p proof is a valid signature of \p transcript with any of
/// \p keys. All keys are accepted so that keys can be rotated without closing
/// links.
bool verify_handshake(const std::vector<config::shared_key>& keys,
                      handshake_role role,
                      const handshake_transcript& transcript,
                      const handshake_proof& proof);

} // namespace galenarudder::link
