// Little-endian encoding of fixed size: a header of 9 bytes, and 16 for each
// item.
#include "galenarudder/organisations/message.hpp"

#include <algorithm>
#include <cassert>

namespace galenarudder::organisations {

namespace {

constexpr std::uint8_t format_version = 1;
constexpr std::size_t header_bytes = 9;
constexpr std::size_t item_bytes = 16;
static_assert(header_bytes + max_items * item_bytes <= max_message_bytes);

template <typename Number>
void append(std::string& bytes, Number value)
{
    for (std::size_t index = 0; index < sizeof(Number); ++index)
        bytes += static_cast<char>((value >> (8 * index)) & 0xff);
}

/// Removes a number from the front of \p bytes.
template <typename Number>
Number take_number(std::string_view& bytes)
{
    Number value = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
        const auto byte = static_cast<std::uint8_t>(bytes[index]);
        value = static_cast<Number>(value | (Number{byte} << (8 * index)));
    }
    bytes.remove_prefix(sizeof(Number));
    return value;
}

} // namespace

std::string encode(const message& outgoing)
{
    assert(outgoing.items.size() <= max_items);
    std::string bytes;
    bytes.reserve(header_bytes + outgoing.items.size() * item_bytes);
    append(bytes, format_version);
    append(bytes, static_cast<std::uint8_t>(outgoing.kind));
    append(bytes, static_cast<std::uint8_t>(outgoing.items.size()));
    append(bytes, outgoing.known);
    append(bytes, outgoing.stamp);
    for (const item& entry : outgoing.items) {
        append(bytes, entry.organisation);
        append(bytes, entry.first);
        append(bytes, entry.second);
    }
    return bytes;
}

std::optional<message> decode(std::string_view bytes)
{
    if (bytes.size() < header_bytes)
        return std::nullopt;
    const auto version = take_number<std::uint8_t>(bytes);
    const auto kind = take_number<std::uint8_t>(bytes);
    const auto count = take_number<std::uint8_t>(bytes);
    const bool valid =
        version == format_version &&
        kind <= static_cast<std::uint8_t>(message_kind::release) && count > 0 &&
        count <= max_items;
    if (!valid)
        return std::nullopt;
    message decoded;
    decoded.kind = static_cast<message_kind>(kind);
    decoded.known = take_number<std::uint16_t>(bytes);
    decoded.stamp = take_number<std::uint32_t>(bytes);
    if (bytes.size() != count * item_bytes)
        return std::nullopt;
    for (std::uint8_t index = 0; index < count; ++index) {
        item entry;
        entry.organisation = take_number<std::uint64_t>(bytes);
        entry.first = take_number<std::uint32_t>(bytes);
        entry.second = take_number<std::uint32_t>(bytes);
        decoded.items.push_back(entry);
    }
    return decoded;
}

std::vector<std::pair<member_hash, message>> outbox::take(std::uint16_t known)
{
    std::vector<std::pair<member_hash, message>> messages;
    for (auto& [key, items] : items_) {
        const auto& [to, kind, stamp] = key;
        for (std::size_t begin = 0; begin < items.size(); begin += max_items) {
            const std::size_t end = std::min(begin + max_items, items.size());
            const auto first = items.begin();
            messages.emplace_back(
                to, message{kind,
                            known,
                            stamp,
                            {first + static_cast<std::ptrdiff_t>(begin),
                             first + static_cast<std::ptrdiff_t>(end)}});
        }
    }
    items_.clear();
    return messages;
}

} // namespace galenarudder::organisations
