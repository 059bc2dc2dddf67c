// HMAC-SHA256, implemented with OpenSSL.
#include "galenarudder/support/hmac.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace galenarudder::support {

std::string sign(std::string_view secret, std::string_view message)
{
    std::string signature(signature_bytes, '\0');
    unsigned size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(message.data()), message.size(),
         reinterpret_cast<unsigned char*>(signature.data()), &size);
    return signature;
}

bool verify(std::string_view secret,
            std::string_view message,
            std::string_view signature)
{
    const std::string expected = sign(secret, message);
    return signature.size() == expected.size() &&
           CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) ==
               0;
}

} // namespace galenarudder::support
