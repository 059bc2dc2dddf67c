// The default dialect.
#include "galenarudder/proxy/http_dialect.hpp"

#include "galenarudder/proxy/http_fields.hpp"

namespace galenarudder::proxy {

namespace {

constexpr unsigned status_unavailable = 503;

bool states_not_run(const support::response_head& response)
{
    return response.status == status_unavailable &&
           find_field(response.fields, outcome_field) ==
               to_string(support::run_outcome::not_run);
}

/// Callers read the outcome from the problem document, not from the status.
bool promises_not_run(unsigned)
{
    return false;
}

std::optional<upstream_load> no_load(const support::response_head&)
{
    return std::nullopt;
}

unsigned refusal_status(const support::refusal& reason)
{
    return support::http_status(reason.kind);
}

http_dialect make_product_dialect()
{
    http_dialect dialect;
    dialect.deadline = deadline_field;
    dialect.rank = rank_field;
    dialect.depth = depth_field;
    dialect.idempotency_key = key_field;
    dialect.no_retry = no_retry_field;
    dialect.states_not_run = states_not_run;
    dialect.promises_not_run = promises_not_run;
    dialect.read_load = no_load;
    dialect.refusal_status = refusal_status;
    return dialect;
}

} // namespace

std::string_view request_id_of(const support::call_head& head,
                               const http_dialect& dialect)
{
    return find_field(head.fields, dialect.request_id);
}

const http_dialect& product_dialect()
{
    static const http_dialect dialect = make_product_dialect();
    return dialect;
}

} // namespace galenarudder::proxy
