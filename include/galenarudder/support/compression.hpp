/// \file
/// DEFLATE in zlib format (RFC 1950) of texts that daemons send each other.
#pragma once

#include "galenarudder/support/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace galenarudder::support {

/// Compresses \p plain at the fastest level.
std::string compress(std::string_view plain);

/// Decompresses what compress() made of a text of \p plain_bytes bytes.
/// Errors: malformed_message if \p compressed is anything else.
result<std::string> decompress(std::string_view compressed,
                               std::size_t plain_bytes);

} // namespace galenarudder::support
