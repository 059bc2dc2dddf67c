// Accepts the callers' connections and keeps track of their sessions.
#include "galenarudder/proxy/caller_server.hpp"

#include "caller_session.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace galenarudder::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A twentieth of the memory of the smallest VMs, which have 160 MB.
constexpr std::size_t read_ahead_bytes = 8 * 1024 * 1024;

} // namespace

struct caller_server_state
    : public std::enable_shared_from_this<caller_server_state>
{
    caller_server_state(asio::io_context& context, entry& entry_of_daemon)
        : io(context), acceptor(asio::make_strand(context)),
          shared_entry(&entry_of_daemon)
    {
    }

    asio::awaitable<void> accept_all();
    void serve(tcp::socket socket);
    void session_ended(const caller_session* session);
    void drain(std::function<void()> handler);
    void bound_deadlines(support::time_point latest);
    std::vector<std::shared_ptr<caller_session>> open_sessions();

    asio::io_context& io;
    tcp::acceptor acceptor;
    entry* shared_entry;
    std::atomic<std::size_t> open_calls{0};
    std::atomic<bool> draining{false};
    std::shared_ptr<read_ahead_budget> read_ahead =
        std::make_shared<read_ahead_budget>(read_ahead_bytes);

    /// Guards the members below.
    std::mutex sessions_mutex;
    std::map<const caller_session*, std::weak_ptr<caller_session>> sessions;
    std::function<void()> on_drained;
};

asio::awaitable<void> caller_server_state::accept_all()
{
    for (;;) {
        auto [failure, socket] = co_await acceptor.async_accept(
            asio::make_strand(io), asio::as_tuple(asio::use_awaitable));
        if (!acceptor.is_open())
            co_return;
        if (!failure)
            serve(std::move(socket));
    }
}

void caller_server_state::serve(tcp::socket socket)
{
    const asio::any_io_executor executor = socket.get_executor();
    auto session = std::make_shared<caller_session>(
        std::move(socket),
        session_context{shared_entry, &draining, &open_calls, read_ahead});
    {
        const std::lock_guard lock(sessions_mutex);
        sessions[session.get()] = session;
    }
    if (!acceptor.is_open())
        session->drain();
    asio::co_spawn(
        executor,
        [session, self = shared_from_this()]() -> asio::awaitable<void> {
            co_await session->run();
            // A caller that keeps its side of the connection open must not
            // delay a drain.
            self->session_ended(session.get());
            co_await session->close();
        },
        [session, self = shared_from_this()](const std::exception_ptr&) {
            self->session_ended(session.get());
        });
}

void caller_server_state::session_ended(const caller_session* session)
{
    std::function<void()> notify;
    {
        const std::lock_guard lock(sessions_mutex);
        sessions.erase(session);
        if (sessions.empty())
            notify = std::exchange(on_drained, nullptr);
    }
    if (notify)
        notify();
}

std::vector<std::shared_ptr<caller_session>>
caller_server_state::open_sessions()
{
    std::vector<std::shared_ptr<caller_session>> open;
    const std::lock_guard lock(sessions_mutex);
    for (const auto& [address, session] : sessions) {
        if (auto open_session = session.lock())
            open.push_back(std::move(open_session));
    }
    return open;
}

/// Calls that are classified meanwhile get the bound from the entry.
void caller_server_state::bound_deadlines(support::time_point latest)
{
    shared_entry->set_latest_deadline(latest);
    for (const std::shared_ptr<caller_session>& session : open_sessions())
        session->bound_deadlines(latest);
}

void caller_server_state::drain(std::function<void()> handler)
{
    draining = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    std::vector<std::shared_ptr<caller_session>> open;
    {
        const std::lock_guard lock(sessions_mutex);
        for (const auto& [address, session] : sessions)
            open.push_back(session.lock());
        if (!open.empty())
            on_drained = handler;
    }
    if (open.empty())
        return handler();
    for (const std::shared_ptr<caller_session>& session : open) {
        if (session)
            session->drain();
    }
}

caller_server::caller_server(asio::io_context& io, entry& shared_entry)
    : state_(std::make_shared<caller_server_state>(io, shared_entry))
{
}

caller_server::~caller_server() = default;

support::result<void>
caller_server::listen(const config::endpoint& listen_endpoint)
{
    boost::system::error_code failure;
    const tcp::endpoint local(asio::ip::make_address(listen_endpoint.address),
                              listen_endpoint.port);
    tcp::acceptor& acceptor = state_->acceptor;
    acceptor.open(local.protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(local, failure);
    if (!failure)
        acceptor.listen(tcp::acceptor::max_listen_connections, failure);
    if (failure) {
        return support::error{
            support::error_kind::connection_failed,
            "cannot listen on " + to_string(listen_endpoint) + ": " +
                failure.message(),
            "free the port or change callers in the settings"};
    }
    asio::co_spawn(
        acceptor.get_executor(),
        [state = state_]() -> asio::awaitable<void> {
            co_await state->accept_all();
        },
        asio::detached);
    return boost::outcome_v2::success();
}

void caller_server::begin_drain(support::time_point latest_deadline)
{
    state_->draining = true;
    state_->bound_deadlines(latest_deadline);
}

void caller_server::drain(std::function<void()> on_drained)
{
    asio::post(state_->acceptor.get_executor(),
               [state = state_, on_drained = std::move(on_drained)] {
                   state->drain(on_drained);
               });
}

std::size_t caller_server::open_calls() const
{
    return state_->open_calls;
}

} // namespace galenarudder::proxy
