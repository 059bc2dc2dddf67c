/// \file
/// Messages between the limiters of daemons. Datagrams may be lost, delayed or
/// duplicated.
#pragma once

#include "galenarudder/organisations/limit.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace galenarudder::organisations {

/// The meaning of an item's numbers depends on the kind.
enum class message_kind : std::uint8_t
{
    /// An entry asks the owner for tokens; first: number of the request,
    /// second: tokens.
    request,
    /// first: number of the request, second: tokens issued in the lower half,
    /// and in the upper half the time in ms until further ones are expected,
    /// odd if shares of the limit are missing.
    reply,
    /// An owner asks a holder for the lease of its share.
    poll,
    /// first: the share in units of 2^-32, 0 if the lease is refused; second:
    /// tokens that come with it, in thousandths. The header repeats the stamp
    /// of the poll.
    grant,
    /// The owner ends a lease early; first: stamp of the poll that led to it,
    /// second: tokens that it gives back, in thousandths.
    release,
};

struct item
{
    organisation_hash organisation = 0;
    std::uint32_t first = 0;
    std::uint32_t second = 0;

    friend bool operator==(const item&, const item&) = default;
};

struct message
{
    message_kind kind{};
    /// Members that the sender knows; 0 if it has no share.
    std::uint16_t known = 0;
    /// Time of the poll by the clock of the owner that sent it.
    std::uint32_t stamp = 0;
    std::vector<item> items;

    friend bool operator==(const message&, const message&) = default;
};

inline constexpr std::size_t max_message_bytes = 448;
inline constexpr std::size_t max_items = 27;

/// Encodes a message of at most max_items items.
std::string encode(const message& outgoing);
/// Returns nullopt if the message is malformed.
std::optional<message> decode(std::string_view bytes);

/// Collects items, so that those to the same member share datagrams.
class outbox
{
public:
    void add(member_hash to,
             message_kind kind,
             const item& added,
             std::uint32_t stamp = 0)
    {
        items_[{to, kind, stamp}].push_back(added);
    }
    bool empty() const { return items_.empty(); }

    /// Returns the messages for each member and empties the outbox.
    std::vector<std::pair<member_hash, message>> take(std::uint16_t known);

private:
    std::map<std::tuple<member_hash, message_kind, std::uint32_t>,
             std::vector<item>>
        items_;
};

} // namespace galenarudder::organisations
