// Problem documents.
#include "galenarudder/proxy/problem.hpp"

#include <nlohmann/json.hpp>

namespace galenarudder::proxy {

std::string problem_json(const support::refusal& why)
{
    const std::string kind(to_string(why.kind));
    const nlohmann::json document = {
        {"type", "urn:galenarudder:refusal:" + kind},
        {"title", kind},
        {"status", http_status(why.kind)},
        {"detail", why.detail},
        {"kind", kind},
        {"outcome", to_string(why.outcome)},
        {"remedy", remedy(why.kind)}};
    // A caller's own bytes in the detail need not be UTF-8.
    return document.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace);
}

} // namespace galenarudder::proxy
