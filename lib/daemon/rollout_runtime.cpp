// Calls the store and the operator ports of peers, builds documents, and
// reports each result to the node as an event.
#include "galenarudder/daemon/rollout_runtime.hpp"

#include "galenarudder/http/client.hpp"
#include "galenarudder/support/background.hpp"
#include "galenarudder/support/compression.hpp"
#include "galenarudder/support/pause_point.hpp"
#include "galenarudder/telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <charconv>

namespace galenarudder::daemon {

namespace asio = boost::asio;
using state_machine = rollout::rollout;
using support::monotonic_clock;

namespace {

constexpr support::milliseconds store_timeout{1000};
/// Time after which a watch without a change ends and is started again.
constexpr std::chrono::seconds watch_timeout{30};
/// A watch that is to be answered at once.
constexpr support::milliseconds ask_wait{1};
constexpr support::milliseconds peer_timeout{1000};
/// A peer is given up if it pauses for peer_timeout. The whole transfer of a
/// long document over a narrow link takes longer.
constexpr http::exchange_limits pull_limits{peer_timeout, peer_timeout,
                                            support::milliseconds(5000)};

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
    request.fields = {
        {rollout::accepted_encoding_field, rollout::deflate_encoding}};
    return request;
}

/// Replaces a compressed body by the plain one. Returns false if it is
/// malformed.
bool make_plain(http::response& http_response)
{
    const std::string_view encoding =
        http::field_or_empty(http_response.fields, rollout::encoding_field);
    if (encoding.empty())
        return true;
    const std::string_view size =
        http::field_or_empty(http_response.fields, rollout::plain_size_field);
    std::size_t plain_bytes = 0;
    std::from_chars(size.data(), size.data() + size.size(), plain_bytes);
    if (encoding != rollout::deflate_encoding ||
        plain_bytes > rollout::max_plain_bytes)
        return false;
    auto plain = support::decompress(http_response.body, plain_bytes);
    if (!plain)
        return false;
    http_response.body = std::move(plain).value();
    return true;
}

bool is_authentic(const http::response& http_response,
                  std::span<const config::shared_key> keys)
{
    const auto verified = rollout::verify_transfer(
        keys, http::field_or_empty(http_response.fields, rollout::key_id_field),
        http::field_or_empty(http_response.fields, rollout::signature_field),
        http_response.body);
    return verified.has_value();
}

} // namespace

class rollout_runtime::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::any_io_executor executor,
         asio::any_io_executor background,
         store::platform_store& store,
         node& daemon_node,
         const config::daemon_settings& settings,
         telemetry::turn_monitor& turns,
         action_executor execute_actions)
        : executor_(std::move(executor)), background_(std::move(background)),
          store_(store), node_(daemon_node), settings_(settings), turns_(turns),
          execute_actions_(std::move(execute_actions))
    {
    }

    void build(const rollout::build_document& action);
    void release(const rollout::release_document& action);
    void read(store::read_freshness freshness);
    void watch(std::uint64_t watch_number,
               const store::change_index& known_index);
    void ask(const store::change_index& known_index);
    void send_confirmation(const rollout::send_confirmation& action);
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
    void on_built(std::uint64_t build_number,
                  const support::result<rollout::built_document_ptr>& built);
    asio::awaitable<void> fetch_transfer(rollout::pull_from_peer action);
    void on_pull_response(const support::member_id& peer,
                          const http_result& fetch_result,
                          bool authentic);

    asio::any_io_executor executor_;
    asio::any_io_executor background_;
    store::platform_store& store_;
    node& node_;
    const config::daemon_settings& settings_;
    telemetry::turn_monitor& turns_;
    action_executor execute_actions_;
};

void rollout_runtime::impl::build(const rollout::build_document& action)
{
    asio::post(background_, [weak = weak_from_this(), executor = executor_,
                             build_number = action.build_number,
                             input = action.input]() mutable {
        const support::background_scope scope;
        auto built = rollout::build(*input);
        // The input may hold the last share of the previous document.
        input.reset();
        asio::post(executor, [weak = std::move(weak), build_number,
                              built = std::move(built)] {
            if (const auto self = weak.lock())
                self->on_built(build_number, built);
        });
    });
}

void rollout_runtime::impl::on_built(
    std::uint64_t build_number,
    const support::result<rollout::built_document_ptr>& built)
{
    if (!built && built.error().kind == support::error_kind::invalid_document)
        telemetry::log_error("configuration.refused", built.error());
    report(&state_machine::on_built, build_number, built);
}

void rollout_runtime::impl::release(const rollout::release_document& action)
{
    asio::post(background_,
               [document = action.document]() mutable { document.reset(); });
}

void rollout_runtime::impl::read(store::read_freshness freshness)
{
    store_.get(store::configuration_key, freshness, store_timeout,
               [weak = weak_from_this(), freshness](
                   const support::result<store::indexed_value>& stored) {
                   const auto self = weak.lock();
                   if (!self)
                       return;
                   if (!stored) {
                       self->report(&state_machine::on_store_unavailable);
                       return;
                   }
                   self->report(freshness == store::read_freshness::newest
                                    ? &state_machine::on_store_answer
                                    : &state_machine::on_stale_answer,
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

void rollout_runtime::impl::ask(const store::change_index& known_index)
{
    store_.watch(store::configuration_key, known_index, ask_wait,
                 [weak = weak_from_this()](
                     const support::result<store::indexed_value>& stored) {
                     const auto self = weak.lock();
                     if (!self)
                         return;
                     if (!stored) {
                         self->report(&state_machine::on_ask_failed);
                         return;
                     }
                     self->report(&state_machine::on_store_asked,
                                  stored.value().value, stored.value().index);
                 });
}

void rollout_runtime::impl::send_confirmation(
    const rollout::send_confirmation& action)
{
    execute_actions_(node_.send_extension(
        action.observer, rollout::confirmation_topic,
        rollout::encode(action.stated), monotonic_clock::now()));
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

void rollout_runtime::impl::push(const rollout::push_to_peer& action)
{
    asio::co_spawn(
        executor_,
        [weak = weak_from_this(), peer = action.peer,
         destination = action.destination,
         request = push_request(action, settings_)]() -> asio::awaitable<void> {
            const http_result pushed =
                co_await http::fetch(destination, request, peer_timeout);
            const auto self = weak.lock();
            const bool accepted =
                pushed && pushed.value().status == status_accepted;
            if (self && !accepted)
                self->report(&state_machine::on_push_failed, peer);
        },
        asio::detached);
}

void rollout_runtime::impl::pull(const rollout::pull_from_peer& action)
{
    asio::co_spawn(
        executor_,
        [self = shared_from_this(), action]() -> asio::awaitable<void> {
            co_await self->fetch_transfer(action);
        },
        asio::detached);
}

asio::awaitable<void>
rollout_runtime::impl::fetch_transfer(rollout::pull_from_peer action)
{
    http_result fetched = co_await http::fetch(
        action.source, pull_request(action.current_id), pull_limits);
    bool authentic = false;
    if (fetched && fetched.value().status == status_ok) {
        authentic = co_await support::run_by_size(
            fetched.value().body.size(), background_, executor_,
            [this, &fetched] {
                return make_plain(fetched.value()) &&
                       is_authentic(fetched.value(), settings_.keys);
            });
    }
    on_pull_response(action.peer, fetched, authentic);
}

void rollout_runtime::impl::on_pull_response(const support::member_id& peer,
                                             const http_result& fetch_result,
                                             bool authentic)
{
    if (fetch_result && fetch_result.value().status == status_no_content) {
        report(&state_machine::on_pull_answer, peer, std::string_view());
        return;
    }
    if (!authentic) {
        report(&state_machine::on_pull_failed, peer);
        return;
    }
    report(&state_machine::on_pull_answer, peer, fetch_result.value().body);
}

rollout_runtime::rollout_runtime(asio::any_io_executor executor,
                                 asio::any_io_executor background,
                                 store::platform_store& store,
                                 node& daemon_node,
                                 const config::daemon_settings& settings,
                                 telemetry::turn_monitor& turns,
                                 action_executor execute_actions)
    : impl_(std::make_shared<impl>(std::move(executor),
                                   std::move(background),
                                   store,
                                   daemon_node,
                                   settings,
                                   turns,
                                   std::move(execute_actions)))
{
}

rollout_runtime::~rollout_runtime() = default;

void rollout_runtime::execute(const rollout::build_document& action)
{
    impl_->build(action);
}

void rollout_runtime::execute(const rollout::release_document& action)
{
    impl_->release(action);
}

void rollout_runtime::execute(const rollout::read_store& action)
{
    impl_->read(action.freshness);
}

void rollout_runtime::execute(const rollout::watch_store& action)
{
    impl_->watch(action.watch_number, action.known_index);
}

void rollout_runtime::execute(const rollout::ask_store& action)
{
    impl_->ask(action.known_index);
}

void rollout_runtime::execute(const rollout::send_confirmation& action)
{
    impl_->send_confirmation(action);
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
