/// \file
/// Base64 with padding (RFC 4648, section 4).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace galenarudder::support {

/// Returns \p plain in base64, padded with '='.
std::string base64_encode(std::string_view plain);

/// Returns the decoded bytes, or std::nullopt if \p text is not base64.
std::optional<std::string> base64_decode(std::string_view text);

} // namespace galenarudder::support
