// Problem documents with the members title, status, detail and remedy.
#include "galenarudder/http/problem.hpp"

#include "galenarudder/support/json.hpp"

namespace galenarudder::http {

response problem_response(unsigned status, const support::error& failure)
{
    const nlohmann::json body = {{"title", to_string(failure.kind)},
                                 {"status", status},
                                 {"detail", failure.message},
                                 {"remedy", failure.remedy}};
    // The detail may quote bytes of a request that are not valid UTF-8.
    return {
        status, "application/problem+json", support::dump_replacing(body), {}};
}

} // namespace galenarudder::http
