// A call's purpose follows from its operation and the prefix of its key.
#include "galenarudder/store/call_purpose.hpp"

#include "galenarudder/store/platform_store.hpp"

namespace galenarudder::store {

namespace {

constexpr std::array<std::string_view, call_purpose_count> names = {
    "introducers",
    "introducer_slot",
    "configuration_read",
    "configuration_watch",
    "configuration_restore",
    "lease",
    "claims",
    "emptied_domains"};

constexpr std::string_view introducer_keys = "galenarudder/introducers/";

} // namespace

std::string_view to_string(call_purpose purpose)
{
    return names.at(static_cast<std::size_t>(purpose));
}

call_purpose purpose_of(call_operation operation, std::string_view key)
{
    if (operation == call_operation::lease)
        return call_purpose::lease;
    const bool writes = operation == call_operation::write;
    if (key.starts_with(introducer_keys))
        return writes ? call_purpose::introducer_slot
                      : call_purpose::introducers;
    if (key != configuration_key)
        return call_purpose::claims;
    if (operation == call_operation::watch)
        return call_purpose::configuration_watch;
    return writes ? call_purpose::configuration_restore
                  : call_purpose::configuration_read;
}

} // namespace galenarudder::store
