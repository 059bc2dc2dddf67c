// Signs and checks handshakes by HMAC.
#include "galenarudder/link/handshake.hpp"

#include "galenarudder/link/message.hpp"
#include "galenarudder/support/hmac.hpp"

#include <openssl/rand.h>

#include <stdexcept>

namespace galenarudder::link {

namespace {

/// Length before content, so that no two terms give the same text.
void append(std::string& text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

std::string signed_text(handshake_side side, const handshake_terms& terms)
{
    std::string text;
    append(text, side == handshake_side::entry ? "entry" : "gate");
    append(text, terms.entry);
    append(text, terms.gate);
    append(text, std::to_string(terms.epoch));
    append(text, terms.entry_challenge);
    append(text, terms.gate_challenge);
    return text;
}

} // namespace

std::string make_challenge()
{
    std::string bytes(challenge_bytes, '\0');
    const int done = RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                                static_cast<int>(bytes.size()));
    if (done != 1)
        throw std::runtime_error("the system has no random bytes");
    return bytes;
}

bool is_challenge(const std::string& challenge)
{
    return challenge.size() == challenge_bytes;
}

handshake_proof prove(const std::vector<config::shared_key>& keys,
                      handshake_side side,
                      const handshake_terms& terms)
{
    if (keys.empty())
        return {};
    const config::shared_key& key = keys.front();
    return {key.id, support::sign(key.secret, signed_text(side, terms))};
}

bool holds(const std::vector<config::shared_key>& keys,
           handshake_side side,
           const handshake_terms& terms,
           const handshake_proof& proof)
{
    for (const config::shared_key& key : keys) {
        if (key.id != proof.key_id)
            continue;
        if (support::verify(key.secret, signed_text(side, terms),
                            proof.signature))
            return true;
    }
    return false;
}

} // namespace galenarudder::link
