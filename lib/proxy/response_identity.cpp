// The decision is a table over the response's id and its statement that the
// request did not run.
#include "response_identity.hpp"

#include "galenarudder/proxy/http_fields.hpp"

#include <cstddef>

namespace galenarudder::proxy {

namespace {

enum class response_id
{
    /// The dialect has no ids.
    unused,
    same,
    other,
    absent
};

enum class reuse
{
    never,
    if_repeatable,
    always
};

struct rule
{
    bool belongs;
    reuse connection;
};

/// The first column is for responses of requests that may have run, the second
/// for those that state that the request did not run.
///
/// A call may be sent again under its own id, so the copy of a rejection with
/// an id can match, too. Only repeatable calls may take it for theirs.
constexpr rule rules[][2] = {
    /* unused */ {{true, reuse::always}, {true, reuse::always}},
    /* same */ {{true, reuse::always}, {true, reuse::if_repeatable}},
    /* other */ {{false, reuse::always}, {false, reuse::always}},
    /* absent */ {{false, reuse::always}, {true, reuse::never}},
};

response_id compare_ids(const support::response_head& head,
                        const sent_request& request,
                        const http_dialect& dialect)
{
    if (dialect.request_id.empty())
        return response_id::unused;
    const std::string_view id = find_field(head.fields, dialect.request_id);
    if (id.empty())
        return response_id::absent;
    return id == request.id ? response_id::same : response_id::other;
}

} // namespace

response_verdict judge_response(const support::response_head& head,
                                const sent_request& request,
                                const http_dialect& dialect)
{
    const auto id =
        static_cast<std::size_t>(compare_ids(head, request, dialect));
    const rule& applied = rules[id][dialect.states_not_run(head) ? 1 : 0];
    const bool may_reuse =
        applied.connection == reuse::always ||
        (applied.connection == reuse::if_repeatable && request.repeatable);
    return {applied.belongs, may_reuse};
}

} // namespace galenarudder::proxy
