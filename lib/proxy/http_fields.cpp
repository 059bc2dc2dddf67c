// Comparison and search of fields, and the fields that are not forwarded.
#include "galenarudder/proxy/http_fields.hpp"

#include <boost/algorithm/string/predicate.hpp>

namespace galenarudder::proxy {

bool same_field(std::string_view left, std::string_view right)
{
    return boost::algorithm::iequals(left, right);
}

bool is_hop_by_hop(std::string_view name)
{
    static constexpr std::string_view names[] = {
        "Connection",          "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "TE",         "Trailer",
        "Transfer-Encoding",   "Upgrade",    "Proxy-Connection",
        "Content-Length",      "Expect"};
    for (const std::string_view hop_by_hop_name : names) {
        if (same_field(hop_by_hop_name, name))
            return true;
    }
    return false;
}

std::string_view find_field(const std::vector<support::header_field>& fields,
                            std::string_view name)
{
    for (const support::header_field& field : fields) {
        if (same_field(field.name, name))
            return field.value;
    }
    return {};
}

} // namespace galenarudder::proxy
