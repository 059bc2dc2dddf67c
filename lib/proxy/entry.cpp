// Matches requests to services and routes of the configuration in force.
#include "galenarudder/proxy/entry.hpp"

#include "../organisations/key_index.hpp"
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

/// Depth from which gates take a call for nested; see gate_runtime.
constexpr unsigned first_nested_depth = 2;

refusal refused_before_dispatch(refusal_kind kind, std::string detail)
{
    return {kind, run_outcome::not_run, true, support::milliseconds(0),
            std::move(detail)};
}

refusal claims_unavailable()
{
    return {refusal_kind::store_unavailable, run_outcome::not_run, true,
            support::milliseconds(0),
            "this process has no store for claims on idempotency keys"};
}

/// Returns whether no configuration has been adopted yet, so that no service is
/// known.
bool has_no_configuration(const config::configuration& in_force)
{
    return in_force.version == 0 && in_force.services.empty();
}

refusal configuration_missing()
{
    constexpr support::milliseconds adoption_retry_after{1000};
    return {refusal_kind::no_upstream, run_outcome::not_run, false,
            adoption_retry_after,
            "this daemon has not received a configuration yet"};
}

/// Returns the part of a Host field before the first dot or colon.
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

/// Finds the service by the Host field, else by the first path segment, which
/// is then removed from the target.
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

/// Returns the position of the call's rank; 0 is the most urgent. An unknown
/// requested rank is ignored.
std::size_t rank_of_call(const config::configuration& in_force,
                         std::size_t route_rank,
                         std::string_view requested_rank,
                         bool may_be_more_urgent)
{
    const auto requested = in_force.rank_index(requested_rank);
    if (!requested)
        return route_rank;
    return may_be_more_urgent ? *requested : std::max(route_rank, *requested);
}

void remove_unforwarded_fields(std::vector<support::header_field>& fields,
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

constexpr std::string_view authorization_field = "Authorization";

/// The detail does not repeat the field, since it may hold a key.
refusal key_refused(std::string detail)
{
    return refused_before_dispatch(refusal_kind::unknown_key,
                                   std::move(detail));
}

/// Returns the key in the value of an Authorization field; empty if the value
/// has another scheme or no key.
std::string_view key_in(std::string_view value, std::string_view scheme)
{
    const std::size_t scheme_end = value.find(' ');
    if (scheme_end == std::string_view::npos ||
        !same_field(value.substr(0, scheme_end), scheme))
        return {};
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = value.find_first_not_of(blanks, scheme_end);
    if (begin == std::string_view::npos)
        return {};
    return value.substr(begin, value.find_last_not_of(blanks) + 1 - begin);
}

/// What a request states about its organisation.
struct presented_key
{
    bool present = false;
    /// Null if the key is unknown or the field malformed or repeated.
    const config::organisation_policy* organisation = nullptr;
    std::string_view key;
};

presented_key
find_organisation(const config::configuration& in_force,
                  const std::vector<support::header_field>& fields,
                  const http_dialect& dialect)
{
    presented_key presented;
    for (const support::header_field& field : fields) {
        if (!same_field(field.name, authorization_field))
            continue;
        // With several fields it is open which one the caller means.
        if (presented.present)
            return {true, nullptr, {}};
        presented.present = true;
        presented.key = key_in(field.value, dialect.key_scheme);
        if (!presented.key.empty() && in_force.organisation_keys)
            presented.organisation =
                in_force.organisation_keys->find(presented.key);
    }
    return presented;
}

/// Returns the regions in both lists, of which an empty one stands for all;
/// nullopt if there are none.
std::optional<std::vector<std::string>>
common_regions(const std::vector<std::string>& left,
               const std::vector<std::string>& right)
{
    if (left.empty() || right.empty())
        return left.empty() ? right : left;
    std::vector<std::string> common;
    std::copy_if(left.begin(), left.end(), std::back_inserter(common),
                 [&](const std::string& region) {
                     return std::find(right.begin(), right.end(), region) !=
                            right.end();
                 });
    return common.empty() ? std::nullopt : std::optional(std::move(common));
}

/// Applies the rank and the regions of the organisation to the call, and
/// replaces the caller's fields about it.
std::optional<refusal>
apply_organisation(const config::configuration& in_force,
                   const config::organisation_policy* organisation,
                   const http_dialect& dialect,
                   call_head& head,
                   call_properties& properties)
{
    std::erase_if(head.fields, [&](const support::header_field& field) {
        return same_field(field.name, authorization_field) ||
               same_field(field.name, dialect.organisation);
    });
    if (organisation == nullptr)
        return std::nullopt;
    head.organisation = organisation->name;
    if (!dialect.organisation.empty())
        head.fields.push_back(
            {std::string(dialect.organisation), organisation->name});
    properties.rank =
        in_force.rank_index(organisation->rank).value_or(properties.rank);
    auto regions = common_regions(properties.regions, organisation->regions);
    if (!regions) {
        return refused_before_dispatch(
            refusal_kind::no_upstream,
            "organisation " + organisation->name +
                " and the route have no region in common");
    }
    properties.regions = std::move(*regions);
    return std::nullopt;
}

refusal too_large(std::uint64_t limit)
{
    return refused_before_dispatch(refusal_kind::body_too_large,
                                   "the route takes at most " +
                                       std::to_string(limit) + " bytes");
}

} // namespace

entry::entry(const routing::router& router,
             const support::rcu_cell<config::configuration>& in_force,
             telemetry::metrics& metrics,
             gate_lookup find_gate,
             const http_dialect& dialect)
    : router_(router), in_force_(in_force), metrics_(metrics),
      find_gate_(std::move(find_gate)), dialect_(dialect),
      own_service_(std::make_unique<const std::string>()),
      upstream_address_(std::make_unique<const std::string>())
{
}

void entry::set_upstream_address(const std::string& address)
{
    if (*upstream_address_.read() == address)
        return;
    upstream_address_.replace(std::make_unique<const std::string>(address));
}

void entry::set_own_service(const std::string& service)
{
    if (*own_service_.read() == service)
        return;
    own_service_.replace(std::make_unique<const std::string>(service));
}

void entry::set_keyed_calls(std::shared_ptr<keyed_calls> calls)
{
    keyed_calls_ = std::move(calls);
}

boost::asio::awaitable<claim_result>
entry::claim(const call_head& head,
             std::string_view key_digest,
             support::time_point deadline) const
{
    if (head.idempotency_key.empty() || head.repeatable)
        co_return claim_result();
    if (!keyed_calls_)
        co_return claim_result(claims_unavailable());
    co_return co_await keyed_calls_->claim(head, key_digest, deadline);
}

void entry::set_organisation_limits(std::shared_ptr<organisation_limits> limits)
{
    organisation_limits_ = std::move(limits);
}

boost::asio::awaitable<limit_result> entry::admit(const call_head& head) const
{
    if (head.organisation.empty() || !organisation_limits_)
        co_return limit_result();
    co_return co_await organisation_limits_->admit(head);
}

void entry::give_back(const organisations::token& unused) const
{
    if (organisation_limits_)
        organisation_limits_->give_back(unused);
}

support::attempt_id entry::next_attempt_id()
{
    return static_cast<support::attempt_id>(++last_attempt_id_);
}

config::caller_limits entry::current_caller_limits() const
{
    return in_force_.read()->callers;
}

/// Chooses among the services of a route that splits its calls. The fractional
/// parts of multiples of the golden ratio are spread so evenly that even short
/// sequences of calls follow the weights.
const std::string& entry::choose_service(const config::host_route& route) const
{
    if (route.services.size() == 1)
        return route.services.front().service;
    constexpr double golden_ratio_fraction = 0.6180339887498949;
    const double position =
        golden_ratio_fraction * static_cast<double>(++split_route_calls_);
    double total_weight = 0;
    for (const config::weighted_service& weighted : route.services)
        total_weight += weighted.weight;
    double remaining_weight = (position - std::floor(position)) * total_weight;
    for (const config::weighted_service& weighted : route.services) {
        remaining_weight -= weighted.weight;
        if (remaining_weight < 0)
            return weighted.service;
    }
    return route.services.back().service;
}

std::optional<refusal>
entry::apply_host_route(const config::configuration& in_force,
                        std::string_view host,
                        call_head& head,
                        classified_call& classified) const
{
    const config::host_route* route =
        config::find_host_route(in_force, host, path_of(head.target));
    if (route == nullptr) {
        return refused_before_dispatch(refusal_kind::no_such_service,
                                       "no route of host " + std::string(host) +
                                           " matches " + head.target);
    }
    classified.body_limit_bytes = in_force.callers.body_bytes;
    classified.properties.service = choose_service(*route);
    classified.properties.rank =
        in_force.rank_index(route->rank).value_or(in_force.ranks.size() - 1);
    classified.properties.repeatable = route->repeatable;
    classified.properties.max_runs = route->attempts;
    classified.goal = route->goal;
    classified.properties.regions = route->regions;
    classified.open = route->open;
    head.remaining_time = route->deadline;
    return std::nullopt;
}

std::optional<refusal>
entry::apply_service_route(const config::configuration& in_force,
                           std::string_view host,
                           call_head& head,
                           classified_call& classified) const
{
    const config::service_policy* service = find_service(in_force, host, head);
    if (service == nullptr) {
        return refused_before_dispatch(
            refusal_kind::no_such_service,
            "neither the Host field nor the path names a "
            "service of the configuration");
    }
    const config::route_policy* route =
        config::find_route(*service, head.method, path_of(head.target));
    if (route == nullptr) {
        return refused_before_dispatch(refusal_kind::no_such_service,
                                       "service " + service->name +
                                           " has no route for " + head.method +
                                           " " + head.target);
    }
    classified.body_limit_bytes = route->body_limit_bytes;
    classified.properties.service = service->name;
    classified.properties.rank =
        in_force.rank_index(route->rank).value_or(in_force.ranks.size() - 1);
    classified.properties.repeatable = route->repeatable;
    head.remaining_time = route->deadline;
    return std::nullopt;
}

bool entry::may_lack_key(std::string_view peer) const
{
    if (peer.empty())
        return false;
    const auto upstream_address = upstream_address_.read();
    return peer ==
           (upstream_address->empty() ? own_address_ : *upstream_address);
}

std::optional<refusal>
entry::identify_caller(const config::configuration& in_force,
                       std::string_view peer,
                       call_head& head,
                       classified_call& classified) const
{
    const presented_key presented =
        find_organisation(in_force, head.fields, dialect_);
    classified.lacks_key = !presented.present;
    const bool admitted = presented.organisation != nullptr ||
                          classified.open ||
                          (!presented.present && may_lack_key(peer));
    if (!admitted) {
        return key_refused(presented.present
                               ? "the Authorization field holds no key of an "
                                 "organisation"
                               : "the request has no Authorization field");
    }
    const bool keyed =
        !find_field(head.fields, dialect_.idempotency_key).empty();
    if (presented.organisation != nullptr && keyed)
        classified.key_digest = organisations::digest_of(presented.key);
    return apply_organisation(in_force, presented.organisation, dialect_, head,
                              classified.properties);
}

classification entry::classify(call_head head,
                               std::string_view host,
                               support::time_point now,
                               std::string_view peer) const
{
    const auto in_force = in_force_.read();
    if (has_no_configuration(*in_force))
        return configuration_missing();
    classified_call accepted;
    std::optional<refusal> refused =
        in_force->host_routes.empty()
            ? apply_service_route(*in_force, host, head, accepted)
            : apply_host_route(*in_force, host, head, accepted);
    if (refused)
        return std::move(*refused);
    const bool from_upstream =
        !peer.empty() && peer == *upstream_address_.read();
    if (in_force->requires_keys || !in_force->organisations.empty()) {
        refused = identify_caller(*in_force, peer, head, accepted);
        if (refused)
            return std::move(*refused);
    }
    if (head.content_length.value_or(0) > accepted.body_limit_bytes)
        return too_large(accepted.body_limit_bytes);
    const auto depth =
        read_number(find_field(head.fields, dialect_.depth)).value_or(0);
    if (depth >= support::max_call_depth) {
        return refused_before_dispatch(refusal_kind::too_deep,
                                       "the call is nested too deeply");
    }
    call_properties& properties = accepted.properties;
    properties.rank =
        rank_of_call(*in_force, properties.rank,
                     find_field(head.fields, dialect_.rank), from_upstream);
    const auto requested_ms =
        read_number(find_field(head.fields, dialect_.deadline));
    if (requested_ms)
        head.remaining_time =
            std::min(head.remaining_time, support::milliseconds(*requested_ms));
    properties.deadline =
        std::min(now + head.remaining_time, latest_deadline());
    if (accepted.goal > support::milliseconds(0))
        properties.in_time_until = now + accepted.goal;
    const config::service_policy* service =
        in_force->find_service(properties.service);
    // Only gates of such services use it; elsewhere it would cost bytes.
    if (accepted.goal > support::milliseconds(0) && service != nullptr &&
        service->cold_calls_per_s > 0)
        head.time_until_late = accepted.goal;
    head.remaining_time = std::chrono::floor<support::milliseconds>(
        std::max(properties.deadline - now, support::duration(0)));
    head.service = properties.service;
    head.rank = in_force->ranks[properties.rank].name;
    head.repeatable = properties.repeatable;
    head.idempotency_key =
        std::string(find_field(head.fields, dialect_.idempotency_key));
    head.depth = static_cast<unsigned>(depth) + 1;
    // Gates let nested calls go first where there are organisations. Upstreams
    // of such deployments do not all state the depth of their calls.
    if (from_upstream && accepted.lacks_key)
        head.depth = std::max(head.depth, first_nested_depth);
    remove_unforwarded_fields(head.fields, dialect_);
    if (!dialect_.calling_service.empty())
        head.fields.push_back(
            {std::string(dialect_.calling_service), *own_service_.read()});
    accepted.head = std::move(head);
    return accepted;
}

} // namespace galenarudder::proxy
