// The default dialect.
#include "galenarudder/proxy/http_dialect.hpp"

#include "galenarudder/proxy/http_fields.hpp"

#include <charconv>

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

upstream_demand read_demand(const support::response_head& response)
{
    return {parse_calls_per_s(find_field(response.fields, limit_field)),
            find_field(response.fields, leaving_field) == "1"};
}

unsigned refusal_status(const support::refusal& reason)
{
    constexpr unsigned status_bad_gateway = 502;
    // A full upstream that reset the connection may have run the call.
    if (reason.kind == support::refusal_kind::upstream_shed &&
        reason.outcome == support::run_outcome::unknown)
        return status_bad_gateway;
    return support::http_status(reason.kind);
}

http_dialect make_product_dialect()
{
    http_dialect dialect;
    dialect.deadline = deadline_field;
    dialect.rank = rank_field;
    dialect.depth = depth_field;
    dialect.idempotency_key = key_field;
    dialect.key_scheme = "Bearer";
    dialect.organisation = organisation_field;
    dialect.no_retry = no_retry_field;
    dialect.states_not_run = states_not_run;
    dialect.promises_not_run = promises_not_run;
    dialect.read_load = no_load;
    dialect.read_demand = read_demand;
    dialect.refusal_status = refusal_status;
    return dialect;
}

} // namespace

std::optional<double> parse_calls_per_s(std::string_view text)
{
    constexpr double max_calls_per_s = 1e9;
    double value = 0;
    const char* const end = text.data() + text.size();
    const auto [number_end, failure] = std::from_chars(text.data(), end, value);
    const bool valid = failure == std::errc() && number_end == end &&
                       value >= 0 && value <= max_calls_per_s;
    return valid ? std::optional(value) : std::nullopt;
}

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
