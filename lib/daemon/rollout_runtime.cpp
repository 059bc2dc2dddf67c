// Store calls and small HTTP requests; each answer goes back as an event.
#include "galenarudder/daemon/rollout_runtime.hpp"

#include "galenarudder/http/client.hpp"
#include "galenarudder/telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace galenarudder::daemon {

namespace asio = boost::asio;
using machine = rollout::rollout;
using support::monotonic_clock;

namespace {

constexpr support::milliseconds store_timeout{1000};
/// A watch is repeated after this long without a change.
constexpr std::chrono::seconds watch_wait{30};
constexpr support::milliseconds peer_timeout{1000};

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_no_content = 204;

constexpr const char* configuration_path = "/v1/configuration";

using http_result = support::result<http::response>;

http::client_request push_request(const rollout::push_to_peer& what,
                                  const config::daemon_settings& settings)
{
    const config::shared_key& key = settings.keys.front();
    http::client_request request;
    request.method = "PUT";
    request.target = std::string(configuration_path) +
                     "?sender=" + http::percent_encode(settings.member);
    request.body = what.encoded;
    request.fields = {
        {rollout::key_id_field, key.id},
        {rollout::signature_field, rollout::sign_transfer(key, what.encoded)}};
    return request;
}

http::client_request pull_request(const rollout::document_id& held)
{
    http::client_request request;
    request.method = "GET";
    request.target = std::string(configuration_path) +
                     "?from=" + std::to_string(held.version) +
                     "&hash=" + held.hash;
    return request;
}

} // namespace

class rollout_runtime::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::any_io_executor executor,
         store::platform_store& store,
         node& control,
         const config::daemon_settings& settings,
         performer perform)
        : executor_(std::move(executor)), store_(store), node_(control),
          settings_(settings), perform_(std::move(perform))
    {
    }

    void read();
    void watch(std::uint64_t number, std::uint64_t known_index);
    void restore(const rollout::restore_store& what);
    void push(const rollout::push_to_peer& what);
    void pull(const rollout::pull_from_peer& what);

private:
    template <typename Event, typename... Carried>
    void report(Event event, Carried&&... carried)
    {
        perform_(node_.on_rollout_event(event, monotonic_clock::now(),
                                        std::forward<Carried>(carried)...));
    }
    template <typename Done>
    void fetch(config::endpoint where, http::client_request request, Done done);
    void pulled(const support::member_id& peer, const http_result& answer);
    bool authentic(const http::response& answer) const;

    asio::any_io_executor executor_;
    store::platform_store& store_;
    node& node_;
    const config::daemon_settings& settings_;
    performer perform_;
};

void rollout_runtime::impl::read()
{
    store_.get(store::configuration_key, store_timeout,
               [weak = weak_from_this()](
                   const support::result<store::versioned_value>& found) {
                   const auto self = weak.lock();
                   if (!self)
                       return;
                   if (!found) {
                       self->report(&machine::on_store_unavailable);
                       return;
                   }
                   self->report(&machine::on_store_answer, found.value().value,
                                found.value().index);
               });
}

void rollout_runtime::impl::watch(std::uint64_t number,
                                  std::uint64_t known_index)
{
    store_.watch(store::configuration_key, known_index, watch_wait,
                 [weak = weak_from_this(), number](
                     const support::result<store::versioned_value>& found) {
                     const auto self = weak.lock();
                     if (!self)
                         return;
                     if (!found) {
                         self->report(&machine::on_watch_failed, number);
                         return;
                     }
                     self->report(&machine::on_watch_answer, number,
                                  found.value().value, found.value().index);
                 });
}

void rollout_runtime::impl::restore(const rollout::restore_store& what)
{
    telemetry::log_event(telemetry::log_kind::belief, "configuration.restored",
                         {{"version", node_.rollout().version()},
                          {"cause", "the store holds an older one"}});
    // Whatever becomes of it is seen by the watch.
    store_.compare_and_swap(store::configuration_key, what.stored,
                            what.expected_index, "", store_timeout,
                            [](const support::result<store::swap_outcome>&) {});
}

template <typename Done>
void rollout_runtime::impl::fetch(config::endpoint where,
                                  http::client_request request,
                                  Done done)
{
    asio::co_spawn(
        executor_,
        [where = std::move(where), request = std::move(request),
         done = std::move(done)]() -> asio::awaitable<void> {
            done(co_await http::fetch(where, request, peer_timeout));
        },
        asio::detached);
}

void rollout_runtime::impl::push(const rollout::push_to_peer& what)
{
    fetch(what.where, push_request(what, settings_),
          [weak = weak_from_this(), peer = what.peer](const http_result& done) {
              const auto self = weak.lock();
              const bool taken = done && done.value().status == status_accepted;
              if (self && !taken)
                  self->report(&machine::on_push_failed, peer);
          });
}

void rollout_runtime::impl::pull(const rollout::pull_from_peer& what)
{
    fetch(what.where, pull_request(what.held),
          [weak = weak_from_this(), peer = what.peer](const http_result& done) {
              const auto self = weak.lock();
              if (self)
                  self->pulled(peer, done);
          });
}

void rollout_runtime::impl::pulled(const support::member_id& peer,
                                   const http_result& answer)
{
    if (answer && answer.value().status == status_no_content) {
        report(&machine::on_pull_answer, peer, std::string_view());
        return;
    }
    if (!answer || !authentic(answer.value())) {
        report(&machine::on_pull_failed, peer);
        return;
    }
    report(&machine::on_pull_answer, peer, answer.value().body);
}

bool rollout_runtime::impl::authentic(const http::response& answer) const
{
    if (answer.status != status_ok)
        return false;
    const auto verified = rollout::verify_transfer(
        settings_.keys,
        http::field_or_empty(answer.fields, rollout::key_id_field),
        http::field_or_empty(answer.fields, rollout::signature_field),
        answer.body);
    return verified.has_value();
}

rollout_runtime::rollout_runtime(asio::any_io_executor executor,
                                 store::platform_store& store,
                                 node& node,
                                 const config::daemon_settings& settings,
                                 performer perform)
    : impl_(std::make_shared<impl>(
          std::move(executor), store, node, settings, std::move(perform)))
{
}

rollout_runtime::~rollout_runtime() = default;

void rollout_runtime::execute(const rollout::read_store&)
{
    impl_->read();
}

void rollout_runtime::execute(const rollout::watch_store& what)
{
    impl_->watch(what.watch, what.known_index);
}

void rollout_runtime::execute(const rollout::restore_store& what)
{
    impl_->restore(what);
}

void rollout_runtime::execute(const rollout::push_to_peer& what)
{
    impl_->push(what);
}

void rollout_runtime::execute(const rollout::pull_from_peer& what)
{
    impl_->pull(what);
}

} // namespace galenarudder::daemon
