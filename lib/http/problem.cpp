// Problem documents with the members title, status, detail and remedy.
#include "galenarudder/http/problem.hpp"

#include <nlohmann/json.hpp>

namespace galenarudder::http {

response problem_response(unsigned status, const support::error& failure)
{
    const nlohmann::json body = {{"title", to_string(failure.kind)},
                                 {"status", status},
                                 {"detail", failure.message},
                                 {"remedy", failure.remedy}};
    return {status, "application/problem+json", body.dump(), {}};
}

} // namespace galenarudder::http
