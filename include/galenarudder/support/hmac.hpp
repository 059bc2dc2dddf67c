/// \file
/// Message authentication with HMAC-SHA256 and the fleet's shared keys.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace galenarudder::support {

/// Size of a signature in bytes.
inline constexpr std::size_t signature_bytes = 32;

/// Returns the HMAC of \p message with the key \p secret.
std::string sign(std::string_view secret, std::string_view message);

/// Returns whether \p signature is the HMAC of \p message with the key
/// \p secret. The comparison takes constant time.
bool verify(std::string_view secret,
            std::string_view message,
            std::string_view signature);

} // namespace galenarudder::support
