// DEFLATE by zlib.
#include "galenarudder/support/compression.hpp"

#include <zlib.h>

namespace galenarudder::support {

namespace {

const Bytef* bytes_of(std::string_view text)
{
    return reinterpret_cast<const Bytef*>(text.data());
}

} // namespace

std::string compress(std::string_view plain)
{
    uLongf size = ::compressBound(plain.size());
    std::string compressed(size, '\0');
    ::compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                bytes_of(plain), plain.size(), Z_BEST_SPEED);
    compressed.resize(size);
    return compressed;
}

result<std::string> decompress(std::string_view compressed,
                               std::size_t plain_bytes)
{
    std::string plain(plain_bytes, '\0');
    uLongf size = plain_bytes;
    uLong taken = compressed.size();
    const int outcome = ::uncompress2(reinterpret_cast<Bytef*>(plain.data()),
                                      &size, bytes_of(compressed), &taken);
    if (outcome == Z_OK && size == plain_bytes && taken == compressed.size())
        return plain;
    return error{error_kind::malformed_message,
                 "the compressed text is not one of " +
                     std::to_string(plain_bytes) + " bytes",
                 "fetch it again"};
}

} // namespace galenarudder::support
