// Writes refusals as problem documents.
#include "galenarudder/proxy/problem.hpp"

#include "galenarudder/support/json.hpp"

namespace galenarudder::proxy {

std::string problem_json(const support::refusal& reason)
{
    const std::string kind(to_string(reason.kind));
    const nlohmann::json document = {
        {"type", "urn:galenarudder:refusal:" + kind},
        {"title", kind},
        {"status", http_status(reason.kind)},
        {"detail", reason.detail},
        {"kind", kind},
        {"outcome", to_string(reason.outcome)},
        {"remedy", remedy(reason.kind)}};
    // The detail may quote bytes of a request that are not valid UTF-8.
    return support::dump_replacing(document);
}

} // namespace galenarudder::proxy
