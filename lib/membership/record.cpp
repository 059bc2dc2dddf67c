// Names of the member states, and which members get calls.
#include "galenarudder/membership/record.hpp"

#include <array>

namespace galenarudder::membership {

std::string_view to_string(member_state state)
{
    static constexpr std::array<std::string_view, 6> names = {
        "joining", "alive", "draining", "suspect", "left", "dead"};
    return names.at(static_cast<std::size_t>(state));
}

bool serves_calls(const member_record& record)
{
    const bool present = record.state == member_state::alive ||
                         record.state == member_state::suspect;
    return present && !record.service.empty();
}

} // namespace galenarudder::membership
