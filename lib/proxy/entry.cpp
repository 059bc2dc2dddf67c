// Classifies requests by the configuration in force.
#include "galenarudder/proxy/entry.hpp"

#include "galenarudder/proxy/http_fields.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace galenarudder::proxy {

using support::call_head;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

refusal refused_before(refusal_kind kind, std::string detail)
{
    return {kind, run_outcome::not_run, true, support::milliseconds(0),
            std::move(detail)};
}

refusal no_store()
{
    return {refusal_kind::store_unavailable, run_outcome::not_run, true,
            support::milliseconds(0),
            "this process keeps no claims of idempotency keys"};
}

/// Whether no document has been adopted yet, so that no service is known.
bool is_first(const config::configuration& in_force)
{
    return in_force.version == 0 && in_force.services.empty();
}

refusal refused_without_configuration()
{
    constexpr support::milliseconds adoption_retry_after{1000};
    return {refusal_kind::no_upstream, run_outcome::not_run, false,
            adoption_retry_after,
            "this daemon has not heard of a configuration yet"};
}

/// The name before the first dot or colon of a Host field.
std::string_view host_label(std::string_view host)
{
    return host.substr(0, host.find_first_of(".:"));
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view first_segment(std::string_view path)
{
    if (!path.starts_with('/'))
        return {};
    path.remove_prefix(1);
    return path.substr(0, path.find('/'));
}

/// Finds the service by Host, or by the first path segment, which is then
/// taken off the target.
const config::service_policy*
find_service(const config::configuration& in_force,
             std::string_view host,
             call_head& head)
{
    const config::service_policy* by_host =
        in_force.find_service(host_label(host));
    if (by_host != nullptr)
        return by_host;
    const std::string segment(first_segment(path_of(head.target)));
    const config::service_policy* by_path = in_force.find_service(segment);
    if (by_path == nullptr)
        return nullptr;
    head.target.erase(0, segment.size() + 1);
    if (!head.target.starts_with('/'))
        head.target.insert(0, "/");
    return by_path;
}

std::optional<std::int64_t> read_number(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, status] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

/// Ranks are positions, 0 for the most urgent.
std::size_t rank_of_call(const config::configuration& in_force,
                         std::size_t of_route,
                         std::string_view asked,
                         bool may_raise)
{
    const auto wanted = in_force.rank_index(asked);
    if (!wanted)
        return of_route;
    return may_raise ? *wanted : std::max(of_route, *wanted);
}

void drop_own_fields(std::vector<support::header_field>& fields,
                     const http_dialect& dialect)
{
    std::erase_if(fields, [&](const support::header_field& field) {
        return is_hop_by_hop(field.name) ||
               same_field(field.name, dialect.rank) ||
               same_field(field.name, dialect.deadline) ||
               same_field(field.name, dialect.depth) ||
               same_field(field.name, dialect.calling_service) ||
               same_field(field.name, dialect.expected_instance);
    });
}

refusal too_large(std::uint64_t limit)
{
    return refused_before(refusal_kind::body_too_large,
                          "the route takes at most " + std::to_string(limit) +
                              " bytes");
}

} // namespace

entry::entry(const routing::router& router,
             const support::rcu_cell<config::configuration>& in_force,
             telemetry::metrics& metrics,
             gate_lookup find_gate,
             const http_dialect& dialect)
    : router_(router), in_force_(in_force), metrics_(metrics),
      find_gate_(std::move(find_gate)), dialect_(dialect),
      upstream_address_(std::make_unique<const std::string>())
{
}

void entry::set_upstream_address(const std::string& address)
{
    if (*upstream_address_.read() == address)
        return;
    upstream_address_.replace(std::make_unique<const std::string>(address));
}

void entry::set_keyed_calls(std::shared_ptr<keyed_calls> keyed)
{
    keyed_ = std::move(keyed);
}

boost::asio::awaitable<claim_answer>
entry::claim(const call_head& head, support::time_point deadline) const
{
    if (head.key.empty() || head.repeatable)
        co_return claim_answer();
    if (!keyed_)
        co_return claim_answer(no_store());
    co_return co_await keyed_->claim(head, deadline);
}

support::call_id entry::next_call_id()
{
    return static_cast<support::call_id>(++last_call_id_);
}

config::caller_limits entry::limits_of_callers() const
{
    return in_force_.read()->callers;
}

/// Takes the services of a divided route in a sequence that keeps to the
/// weights over any short span, as multiples of the golden ratio do.
const std::string& entry::choose(const config::host_route& route) const
{
    if (route.services.size() == 1)
        return route.services.front().service;
    constexpr double golden = 0.6180339887498949;
    const double turn = golden * static_cast<double>(++divided_);
    double all = 0;
    for (const config::weighted_service& part : route.services)
        all += part.weight;
    double place = (turn - std::floor(turn)) * all;
    for (const config::weighted_service& part : route.services) {
        place -= part.weight;
        if (place < 0)
            return part.service;
    }
    return route.services.back().service;
}

std::optional<refusal> entry::find_host(const config::configuration& in_force,
                                        std::string_view host,
                                        call_head& head,
                                        classified_call& into) const
{
    const config::host_route* route =
        config::find_host_route(in_force, host, path_of(head.target));
    if (route == nullptr) {
        return refused_before(refusal_kind::no_such_service,
                              "no route of host " + std::string(host) +
                                  " matches " + head.target);
    }
    into.body_limit_bytes = in_force.callers.body_bytes;
    into.terms.service = choose(*route);
    into.terms.rank =
        in_force.rank_index(route->rank).value_or(in_force.ranks.size() - 1);
    into.terms.repeatable = route->repeatable;
    into.terms.max_runs = route->attempts;
    head.remaining = route->deadline;
    return std::nullopt;
}

std::optional<refusal>
entry::find_service_route(const config::configuration& in_force,
                          std::string_view host,
                          call_head& head,
                          classified_call& into) const
{
    const config::service_policy* service = find_service(in_force, host, head);
    if (service == nullptr) {
        return refused_before(refusal_kind::no_such_service,
                              "no service of the configuration is named");
    }
    const config::route_policy* route =
        config::find_route(*service, head.method, path_of(head.target));
    if (route == nullptr) {
        return refused_before(refusal_kind::no_such_service,
                              "service " + service->name +
                                  " has no route for " + head.method + " " +
                                  head.target);
    }
    into.body_limit_bytes = route->body_limit_bytes;
    into.terms.service = service->name;
    into.terms.rank =
        in_force.rank_index(route->rank).value_or(in_force.ranks.size() - 1);
    into.terms.repeatable = route->repeatable;
    head.remaining = route->deadline;
    return std::nullopt;
}

classification entry::classify(call_head head,
                               std::string_view host,
                               support::time_point now,
                               std::string_view peer) const
{
    const auto in_force = in_force_.read();
    if (is_first(*in_force))
        return refused_without_configuration();
    classified_call accepted;
    std::optional<refusal> why =
        in_force->host_routes.empty()
            ? find_service_route(*in_force, host, head, accepted)
            : find_host(*in_force, host, head, accepted);
    if (why)
        return std::move(*why);
    if (head.content_length.value_or(0) > accepted.body_limit_bytes)
        return too_large(accepted.body_limit_bytes);
    const auto depth =
        read_number(find_field(head.fields, dialect_.depth)).value_or(0);
    if (depth >= support::max_call_depth) {
        return refused_before(refusal_kind::too_deep,
                              "the call is nested too deeply");
    }
    call_terms& terms = accepted.terms;
    const bool from_upstream =
        !peer.empty() && peer == *upstream_address_.read();
    terms.rank =
        rank_of_call(*in_force, terms.rank,
                     find_field(head.fields, dialect_.rank), from_upstream);
    const auto asked_ms =
        read_number(find_field(head.fields, dialect_.deadline));
    if (asked_ms)
        head.remaining =
            std::min(head.remaining, support::milliseconds(*asked_ms));
    terms.deadline = now + head.remaining;
    head.service = terms.service;
    head.rank = in_force->ranks[terms.rank].name;
    head.repeatable = terms.repeatable;
    head.key = std::string(find_field(head.fields, dialect_.key));
    head.depth = static_cast<unsigned>(depth) + 1;
    drop_own_fields(head.fields, dialect_);
    if (!dialect_.calling_service.empty())
        head.fields.push_back(
            {std::string(dialect_.calling_service), own_service_});
    accepted.head = std::move(head);
    return accepted;
}

} // namespace galenarudder::proxy
