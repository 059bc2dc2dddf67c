// Handshakes are signed and verified with HMAC-SHA256.
#include "galenarudder/link/handshake.hpp"

#include "galenarudder/link/message.hpp"
#include "galenarudder/support/hmac.hpp"

#include <openssl/rand.h>

#include <stdexcept>

namespace galenarudder::link {

namespace {

/// Appends the length and the content of \p part. The length ensures that
/// different transcripts never give the same text.
void append_with_length(std::string& text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

std::string signed_text(handshake_role role,
                        const handshake_transcript& transcript)
{
    std::string text;
    append_with_length(text, role == handshake_role::entry ? "entry" : "gate");
    append_with_length(text, transcript.entry);
    append_with_length(text, transcript.gate);
    append_with_length(text, std::to_string(transcript.epoch));
    append_with_length(text, transcript.entry_challenge);
    append_with_length(text, transcript.gate_challenge);
    return text;
}

} // namespace

std::string make_challenge()
{
    std::string bytes(challenge_bytes, '\0');
    const int status =
        RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                   static_cast<int>(bytes.size()));
    if (status != 1)
        throw std::runtime_error(
            "cannot get random bytes for a link handshake from OpenSSL");
    return bytes;
}

bool is_valid_challenge(const std::string& challenge)
{
    return challenge.size() == challenge_bytes;
}

handshake_proof sign_handshake(const std::vector<config::shared_key>& keys,
                               handshake_role role,
                               const handshake_transcript& transcript)
{
    if (keys.empty())
        return {};
    const config::shared_key& key = keys.front();
    return {key.id, support::sign(key.secret, signed_text(role, transcript))};
}

bool verify_handshake(const std::vector<config::shared_key>& keys,
                      handshake_role role,
                      const handshake_transcript& transcript,
                      const handshake_proof& proof)
{
    for (const config::shared_key& key : keys) {
        if (key.id != proof.key_id)
            continue;
        if (support::verify(key.secret, signed_text(role, transcript),
                            proof.signature))
            return true;
    }
    return false;
}

} // namespace galenarudder::link
