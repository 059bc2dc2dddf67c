// Calls the store and the operator ports of peers, and reports each result to
// the node as an event.
#include "galenarudder/daemon/rollout_runtime.hpp"

#include "galenarudder/http/client.hpp"
#include "galenarudder/telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace galenarudder::daemon {

namespace asio = boost::asio;
using state_machine = rollout::rollout;
using support::monotonic_clock;

namespace {

constexpr support::milliseconds store_timeout{1000};
/// Time after which a watch without a change ends and is started again.
constexpr std::chrono::seconds watch_timeout{30};
constexpr support::milliseconds peer_timeout{1000};

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_no_content = 204;

constexpr const char* configuration_path = "/v1/configuration";

using http_result = support::result<http::response>;

http::client_request push_request(const rollout::push_to_peer& action,
                                  const config::daemon_settings& settings)
{
    const config::shared_key& key = settings.keys.front();
    http::client_request request;
    request.method = "PUT";
    request.target = std::string(configuration_path) +
                     "?sender=" + http::percent_encode(settings.member);
    request.body = action.encoded;
    request.fields = {{rollout::key_id_field, key.id},
                      {rollout::signature_field,
                       rollout::sign_transfer(key, action.encoded)}};
    return request;
}

http::client_request pull_request(const rollout::document_id& held_document)
{
    http::client_request request;
    request.method = "GET";
    request.target = std::string(configuration_path) +
                     "?from=" + std::to_string(held_document.version) +
                     "&hash=" + held_document.hash;
    return request;
}

} // namespace

class rollout_runtime::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::any_io_executor executor,
         store::platform_store& store,
         node& daemon_node,
         const config::daemon_settings& settings,
         telemetry::turn_monitor& turns,
         action_executor execute_actions)
        : executor_(std::move(executor)), store_(store), node_(daemon_node),
          settings_(settings), turns_(turns),
          execute_actions_(std::move(execute_actions))
    {
    }

    void read();
    void watch(std::uint64_t watch_number,
               const store::change_index& known_index);
    void restore(const rollout::restore_store& action);
    void push(const rollout::push_to_peer& action);
    void pull(const rollout::pull_from_peer& action);

private:
    template <typename Event, typename... Arguments>
    void report(Event event, Arguments&&... arguments)
    {
        const telemetry::turn_monitor::turn measured(turns_, "configuration");
        execute_actions_(
            node_.on_rollout_event(event, monotonic_clock::now(),
                                   std::forward<Arguments>(arguments)...));
    }
    template <typename Handler>
    void fetch(config::endpoint peer_address,
               http::client_request request,
               Handler handler);
    void on_pull_response(const support::member_id& peer,
                          const http_result& fetch_result);
    bool is_authentic(const http::response& http_response) const;

    asio::any_io_executor executor_;
    store::platform_store& store_;
    node& node_;
    const config::daemon_settings& settings_;
    telemetry::turn_monitor& turns_;
    action_executor execute_actions_;
};

void rollout_runtime::impl::read()
{
    store_.get(store::configuration_key, store_timeout,
               [weak = weak_from_this()](
                   const support::result<store::indexed_value>& stored) {
                   const auto self = weak.lock();
                   if (!self)
                       return;
                   if (!stored) {
                       self->report(&state_machine::on_store_unavailable);
                       return;
                   }
                   self->report(&state_machine::on_store_answer,
                                stored.value().value, stored.value().index);
               });
}

void rollout_runtime::impl::watch(std::uint64_t watch_number,
                                  const store::change_index& known_index)
{
    store_.watch(store::configuration_key, known_index, watch_timeout,
                 [weak = weak_from_this(), watch_number](
                     const support::result<store::indexed_value>& stored) {
                     const auto self = weak.lock();
                     if (!self)
                         return;
                     if (!stored) {
                         self->report(&state_machine::on_watch_failed,
                                      watch_number);
                         return;
                     }
                     self->report(&state_machine::on_watch_answer, watch_number,
                                  stored.value().value, stored.value().index);
                 });
}

void rollout_runtime::impl::restore(const rollout::restore_store& action)
{
    telemetry::log_event(telemetry::log_kind::state_change,
                         "configuration.restored",
                         {{"version", node_.rollout().version()},
                          {"cause", "the store holds an older version"}});
    // The outcome is ignored here: the watch of the key reports it.
    store_.compare_and_swap(store::configuration_key, action.document,
                            action.expected_index, "", store_timeout,
                            [](const support::result<store::swap_outcome>&) {});
}

template <typename Handler>
void rollout_runtime::impl::fetch(config::endpoint peer_address,
                                  http::client_request request,
                                  Handler handler)
{
    asio::co_spawn(
        executor_,
        [peer_address = std::move(peer_address), request = std::move(request),
         handler = std::move(handler)]() -> asio::awaitable<void> {
            handler(co_await http::fetch(peer_address, request, peer_timeout));
        },
        asio::detached);
}

void rollout_runtime::impl::push(const rollout::push_to_peer& action)
{
    fetch(action.destination, push_request(action, settings_),
          [weak = weak_from_this(),
           peer = action.peer](const http_result& fetch_result) {
              const auto self = weak.lock();
              const bool accepted =
                  fetch_result &&
                  fetch_result.value().status == status_accepted;
              if (self && !accepted)
                  self->report(&state_machine::on_push_failed, peer);
          });
}

void rollout_runtime::impl::pull(const rollout::pull_from_peer& action)
{
    fetch(action.source, pull_request(action.current_id),
          [weak = weak_from_this(),
           peer = action.peer](const http_result& fetch_result) {
              const auto self = weak.lock();
              if (self)
                  self->on_pull_response(peer, fetch_result);
          });
}

void rollout_runtime::impl::on_pull_response(const support::member_id& peer,
                                             const http_result& fetch_result)
{
    if (fetch_result && fetch_result.value().status == status_no_content) {
        report(&state_machine::on_pull_answer, peer, std::string_view());
        return;
    }
    if (!fetch_result || !is_authentic(fetch_result.value())) {
        report(&state_machine::on_pull_failed, peer);
        return;
    }
    report(&state_machine::on_pull_answer, peer, fetch_result.value().body);
}

bool rollout_runtime::impl::is_authentic(
    const http::response& http_response) const
{
    if (http_response.status != status_ok)
        return false;
    const auto verified = rollout::verify_transfer(
        settings_.keys,
        http::field_or_empty(http_response.fields, rollout::key_id_field),
        http::field_or_empty(http_response.fields, rollout::signature_field),
        http_response.body);
    return verified.has_value();
}

rollout_runtime::rollout_runtime(asio::any_io_executor executor,
                                 store::platform_store& store,
                                 node& daemon_node,
                                 const config::daemon_settings& settings,
                                 telemetry::turn_monitor& turns,
                                 action_executor execute_actions)
    : impl_(std::make_shared<impl>(std::move(executor),
                                   store,
                                   daemon_node,
                                   settings,
                                   turns,
                                   std::move(execute_actions)))
{
}

rollout_runtime::~rollout_runtime() = default;

void rollout_runtime::execute(const rollout::read_store&)
{
    impl_->read();
}

void rollout_runtime::execute(const rollout::watch_store& action)
{
    impl_->watch(action.watch_number, action.known_index);
}

void rollout_runtime::execute(const rollout::restore_store& action)
{
    impl_->restore(action);
}

void rollout_runtime::execute(const rollout::push_to_peer& action)
{
    impl_->push(action);
}

void rollout_runtime::execute(const rollout::pull_from_peer& action)
{
    impl_->pull(action);
}

} // namespace galenarudder::daemon
