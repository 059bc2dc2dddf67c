// Base64 by OpenSSL's EVP_EncodeBlock and EVP_DecodeBlock; the results are
// trimmed to their exact size.
#include "galenarudder/support/base64.hpp"

#include <openssl/evp.h>

namespace galenarudder::support {

std::string base64_encode(std::string_view plain)
{
    // EVP_EncodeBlock also writes a terminating zero byte.
    std::string text((plain.size() + 2) / 3 * 4 + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(plain.data()),
                        static_cast<int>(plain.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> base64_decode(std::string_view text)
{
    std::string plain(text.size() / 4 * 3, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(plain.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // EVP_DecodeBlock decodes the padding to zero bytes.
    const std::size_t padding =
        text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    plain.resize(static_cast<std::size_t>(size) - padding);
    return plain;
}

} // namespace galenarudder::support
