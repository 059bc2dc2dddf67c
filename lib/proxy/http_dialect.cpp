// The product's own field names.
#include "galenarudder/proxy/http_dialect.hpp"

#include "galenarudder/proxy/http_fields.hpp"

namespace galenarudder::proxy {

namespace {

constexpr unsigned status_unavailable = 503;

bool states_not_run(const support::answer_head& answer)
{
    return answer.status == status_unavailable &&
           find_field(answer.fields, outcome_field) ==
               to_string(support::run_outcome::not_run);
}

/// Callers read the outcome from the problem document, not from the status.
bool promises_not_run(unsigned)
{
    return false;
}

std::optional<upstream_load> no_load(const support::answer_head&)
{
    return std::nullopt;
}

unsigned refusal_status(const support::refusal& why)
{
    return support::http_status(why.kind);
}

http_dialect make_product_dialect()
{
    http_dialect made;
    made.deadline = deadline_field;
    made.rank = rank_field;
    made.depth = depth_field;
    made.key = key_field;
    made.no_retry = no_retry_field;
    made.states_not_run = states_not_run;
    made.promises_not_run = promises_not_run;
    made.read_load = no_load;
    made.refusal_status = refusal_status;
    return made;
}

} // namespace

std::string_view name_of_call(const support::call_head& head,
                              const http_dialect& dialect)
{
    return find_field(head.fields, dialect.call_id);
}

const http_dialect& product_dialect()
{
    static const http_dialect dialect = make_product_dialect();
    return dialect;
}

} // namespace galenarudder::proxy
